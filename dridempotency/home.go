package dridempotency

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// notRunVerdict is the recorded verdict of an outcome that frees its key: the
// call certainly did not run.
var notRunVerdict = drerror.NotRun.String()

// HomeConfig configures a Home. Clock and View must be set, and the Partition for
// each Journal.
type HomeConfig struct {
	Clock      drclock.Clock
	View       drmember.View
	Partitions [PartitionCount]*Partition
	// Journals append to the partitions' streams. An entry is nil for a
	// partition that this VM does not follow; the Home then refuses requests
	// for that partition.
	Journals [PartitionCount]Journal
}

// Home is the server side of reservations. It appends the intents, outcomes and
// abandons of this and other VMs to the log in batches, and reads them back to
// find which intent came first for its key. The order in the log decides and not
// the VM that is asked, so any VM may act as home of any partition at any time.
// It is safe for concurrent use.
type Home struct {
	config   HomeConfig
	batchers [PartitionCount]*batcher
	cancel   context.CancelFunc
}

// NewHome returns a Home that serves all partitions with a Journal. The caller
// must Close it.
func NewHome(config HomeConfig) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{config: config, cancel: cancel}
	for i := range h.batchers {
		h.batchers[i] = &batcher{ctx: ctx, clock: config.Clock, journal: config.Journals[i]}
	}
	return h
}

// Close cancels appends that have not completed and waits until they have
// ended. Later requests that need an append fail with verdict NotRun and reason
// Draining.
func (h *Home) Close() {
	h.cancel()
	for _, b := range h.batchers {
		b.close()
	}
}

// Register registers the handlers of the Reserve and Finish requests of other
// VMs.
func (h *Home) Register(registry drpeer.Registry) {
	registry.Handle(methodReserve, h.handleReserve)
	registry.Handle(methodFinish, h.handleFinish)
}

func (h *Home) handleReserve(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var request drpb.OnceReserveRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decoding a reserve request")
	}
	return h.reserve(ctx, request.GetIntent())
}

func (h *Home) handleFinish(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var request drpb.OnceFinishRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decoding a finish request")
	}
	return h.finish(ctx, &request)
}

// reserve appends an intent unless the key is already held, and returns whether
// this attempt or another one holds the key. It grants the key only if the
// partition is complete and includes the intent's record. An error with verdict
// NotRun means that the intent was not appended. Reason Conflict means that
// records of the partition are missing.
func (h *Home) reserve(ctx context.Context, intent *drpb.OnceIntent) (proto.Message, error) {
	if intent.GetKey() == "" || intent.GetAttempt() == "" || intent.GetVm() == "" {
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "the intent of a reserve request lacks its key, attempt or VM")
	}
	index := PartitionOf(intent.GetAccount(), intent.GetKey())
	if h.config.Journals[index] == nil {
		return nil, notFollowedError(index)
	}
	partition := h.config.Partitions[index]
	if !partition.Complete() {
		return nil, drerror.New(drerror.NotRun, drerror.Conflict, "records of idempotency partition %d are missing on this VM", index)
	}
	if reply := h.keyStatus(partition, intent); reply != nil {
		return reply, nil
	}
	if err := h.batchers[index].appendEntry(ctx, &drpb.OnceEntry{Intents: []*drpb.OnceIntent{intent}}); err != nil {
		return nil, err
	}
	if !partition.Complete() {
		return nil, drerror.New(drerror.MayHaveRun, drerror.Conflict, "records of idempotency partition %d are missing on this VM", index)
	}
	if reply := h.keyStatus(partition, intent); reply != nil {
		return reply, nil
	}
	// The intent was read back, but its attempt had been abandoned, or the key
	// was freed afterwards.
	return nil, drerror.New(drerror.MayHaveRun, drerror.Unavailable, "attempt %s does not hold its Idempotency-Key: it was abandoned, or the key was freed", intent.GetAttempt())
}

func notFollowedError(index int) error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "this VM does not follow idempotency partition %d", index)
}

// keyStatus returns whether the intent's attempt or another one holds its key,
// or nil if the key is free.
func (h *Home) keyStatus(partition *Partition, intent *drpb.OnceIntent) *drpb.OnceReserveReply {
	winner, outcome, ok := partition.lookup(intent.GetAccount(), intent.GetKey())
	switch {
	case !ok:
		return nil
	case !sameFingerprint(winner, intent.GetFingerprint()):
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_MISMATCH}
	case outcome != nil:
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_DONE, Outcome: outcome}
	case winner.GetAttempt() == intent.GetAttempt():
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_GRANTED}
	case h.dispatcherDied(winner):
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_UNKNOWN}
	default:
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_RUNNING}
	}
}

// dispatcherDied reports whether the process that sent the intent has certainly
// ended: its VM has restarted with a higher incarnation or no longer exists. An
// unreachable VM doesn't count, because it may still be running the call.
func (h *Home) dispatcherDied(intent *drpb.OnceIntent) bool {
	for _, m := range h.config.View.Members() {
		if m.VM == intent.GetVm() {
			return m.Incarnation > intent.GetIncarnation()
		}
	}
	return h.config.View.Gone(intent.GetVm())
}

// finish appends the outcome or the abandon of an attempt. An error with verdict
// NotRun means that it was not appended; repeating a finish is harmless.
func (h *Home) finish(ctx context.Context, request *drpb.OnceFinishRequest) (proto.Message, error) {
	var entry drpb.OnceEntry
	var key callKey
	switch outcome, abandon := request.GetOutcome(), request.GetAbandon(); {
	case outcome.GetAttempt() != "":
		entry.Outcomes = []*drpb.OnceOutcome{outcome}
		key = callKey{outcome.GetAccount(), outcome.GetKey()}
	case abandon.GetAttempt() != "":
		entry.Abandons = []*drpb.OnceAbandon{abandon}
		key = callKey{abandon.GetAccount(), abandon.GetKey()}
	default:
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "the finish request names no attempt")
	}
	index := PartitionOf(key.account, key.key)
	if h.config.Journals[index] == nil {
		return nil, notFollowedError(index)
	}
	if err := h.batchers[index].appendEntry(ctx, &entry); err != nil {
		return nil, err
	}
	return &drpb.OnceFinishReply{}, nil
}
