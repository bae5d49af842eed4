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

// notRunVerdict is the verdict of an outcome that frees its key.
var notRunVerdict = drerror.NotRun.String()

// HomeConfig configures a Home.
type HomeConfig struct {
	Clock      drclock.Clock
	View       drmember.View
	Partitions [PartitionCount]*Partition
	// Journals may be nil for partitions that this VM does not follow. It
	// then refuses to be their home.
	Journals [PartitionCount]Journal
}

// Home appends the intents, outcomes and abandons of other VMs in batches and
// reads back which intents won. Any VM may act as home of any partition at
// any time. It is safe for concurrent use.
type Home struct {
	config   HomeConfig
	batchers [PartitionCount]*batcher
	cancel   context.CancelFunc
}

// NewHome returns a home for all partitions.
func NewHome(config HomeConfig) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{config: config, cancel: cancel}
	for i := range h.batchers {
		h.batchers[i] = &batcher{ctx: ctx, clock: config.Clock, journal: config.Journals[i]}
	}
	return h
}

// Close stops appending and waits for appends under way.
func (h *Home) Close() {
	h.cancel()
	for _, b := range h.batchers {
		b.close()
	}
}

// Register registers the handlers for calls from other VMs.
func (h *Home) Register(registry drpeer.Registry) {
	registry.Handle(methodReserve, h.handleReserve)
	registry.Handle(methodFinish, h.handleFinish)
}

func (h *Home) handleReserve(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var request drpb.OnceReserveRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "reserve request")
	}
	return h.reserve(ctx, request.GetIntent())
}

func (h *Home) handleFinish(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var request drpb.OnceFinishRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "finish request")
	}
	return h.finish(ctx, &request)
}

// reserve appends an intent unless the key is taken already, and says who has
// it. It decides only on a complete state that includes the intent's record.
// Errors with verdict NotRun mean that the intent was not appended; reason
// Conflict means that records are missing.
func (h *Home) reserve(ctx context.Context, intent *drpb.OnceIntent) (proto.Message, error) {
	if intent.GetKey() == "" || intent.GetAttempt() == "" || intent.GetVm() == "" {
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "intent lacks key, attempt or VM")
	}
	index := PartitionOf(intent.GetAccount(), intent.GetKey())
	if h.config.Journals[index] == nil {
		return nil, notFollowedError(index)
	}
	partition := h.config.Partitions[index]
	if !partition.Complete() {
		return nil, drerror.New(drerror.NotRun, drerror.Conflict, "partition %d misses records", index)
	}
	if reply := h.keyStatus(partition, intent); reply != nil {
		return reply, nil
	}
	if err := h.batchers[index].appendEntry(ctx, &drpb.OnceEntry{Intents: []*drpb.OnceIntent{intent}}); err != nil {
		return nil, err
	}
	if !partition.Complete() {
		return nil, drerror.New(drerror.MayHaveRun, drerror.Conflict, "partition %d misses records", index)
	}
	if reply := h.keyStatus(partition, intent); reply != nil {
		return reply, nil
	}
	// The intent was read back, but its attempt was abandoned, or the key
	// freed since.
	return nil, drerror.New(drerror.MayHaveRun, drerror.Unavailable, "attempt %s did not get the key", intent.GetAttempt())
}

func notFollowedError(index int) error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "this VM does not follow partition %d", index)
}

// keyStatus says who has the key of an intent, nil if nobody.
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

// dispatcherDied reports whether the process that dispatches an intent is gone for
// certain. A VM that cannot be reached may still be running the call.
func (h *Home) dispatcherDied(intent *drpb.OnceIntent) bool {
	for _, m := range h.config.View.Members() {
		if m.VM == intent.GetVm() {
			return m.Incarnation > intent.GetIncarnation()
		}
	}
	return h.config.View.Gone(intent.GetVm())
}

// finish appends an outcome or abandon.
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
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "finish request without attempt")
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
