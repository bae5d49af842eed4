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

// notRun is the verdict of an outcome that frees its key.
var notRun = drerror.NotRun.String()

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
func NewHome(c HomeConfig) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{config: c, cancel: cancel}
	for i := range h.batchers {
		h.batchers[i] = &batcher{ctx: ctx, clock: c.Clock, journal: c.Journals[i]}
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
func (h *Home) Register(r drpeer.Registry) {
	r.Handle(methodReserve, h.handleReserve)
	r.Handle(methodFinish, h.handleFinish)
}

func (h *Home) handleReserve(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var m drpb.OnceReserveRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "reserve request")
	}
	return h.reserve(ctx, m.GetIntent())
}

func (h *Home) handleFinish(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var m drpb.OnceFinishRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "finish request")
	}
	return h.finish(ctx, &m)
}

// reserve appends an intent unless the key is taken already, and says who has
// it. It decides only on a complete state that includes the intent's record.
// Errors with verdict NotRun mean that the intent was not appended; reason
// Conflict means that records are missing.
func (h *Home) reserve(ctx context.Context, i *drpb.OnceIntent) (proto.Message, error) {
	if i.GetKey() == "" || i.GetAttempt() == "" || i.GetVm() == "" {
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "intent lacks key, attempt or VM")
	}
	n := PartitionOf(i.GetAccount(), i.GetKey())
	if h.config.Journals[n] == nil {
		return nil, notFollowed(n)
	}
	p := h.config.Partitions[n]
	if !p.Complete() {
		return nil, drerror.New(drerror.NotRun, drerror.Conflict, "partition %d misses records", n)
	}
	if reply := h.status(p, i); reply != nil {
		return reply, nil
	}
	if err := h.batchers[n].add(ctx, &drpb.OnceEntry{Intents: []*drpb.OnceIntent{i}}); err != nil {
		return nil, err
	}
	if !p.Complete() {
		return nil, drerror.New(drerror.MayHaveRun, drerror.Conflict, "partition %d misses records", n)
	}
	if reply := h.status(p, i); reply != nil {
		return reply, nil
	}
	// The intent was read back, but its attempt was abandoned, or the key
	// freed since.
	return nil, drerror.New(drerror.MayHaveRun, drerror.Unavailable, "attempt %s did not get the key", i.GetAttempt())
}

func notFollowed(n int) error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "this VM does not follow partition %d", n)
}

// status says who has the key of an intent, nil if nobody.
func (h *Home) status(p *Partition, i *drpb.OnceIntent) *drpb.OnceReserveReply {
	winner, outcome, ok := p.lookup(i.GetAccount(), i.GetKey())
	switch {
	case !ok:
		return nil
	case !sameFingerprint(winner, i.GetFingerprint()):
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_MISMATCH}
	case outcome != nil:
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_DONE, Outcome: outcome}
	case winner.GetAttempt() == i.GetAttempt():
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_GRANTED}
	case h.died(winner):
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_UNKNOWN}
	default:
		return &drpb.OnceReserveReply{Status: drpb.OnceReserveReply_RUNNING}
	}
}

// died reports whether the process that dispatches an intent is gone for
// certain. A VM that cannot be reached may still be running the call.
func (h *Home) died(i *drpb.OnceIntent) bool {
	for _, m := range h.config.View.Members() {
		if m.VM == i.GetVm() {
			return m.Incarnation > i.GetIncarnation()
		}
	}
	return h.config.View.Gone(i.GetVm())
}

// finish appends an outcome or abandon.
func (h *Home) finish(ctx context.Context, m *drpb.OnceFinishRequest) (proto.Message, error) {
	var e drpb.OnceEntry
	var k callKey
	switch o, a := m.GetOutcome(), m.GetAbandon(); {
	case o.GetAttempt() != "":
		e.Outcomes = []*drpb.OnceOutcome{o}
		k = callKey{o.GetAccount(), o.GetKey()}
	case a.GetAttempt() != "":
		e.Abandons = []*drpb.OnceAbandon{a}
		k = callKey{a.GetAccount(), a.GetKey()}
	default:
		return nil, drerror.New(drerror.NotRun, drerror.MalformedRequest, "finish request without attempt")
	}
	n := PartitionOf(k.account, k.key)
	if h.config.Journals[n] == nil {
		return nil, notFollowed(n)
	}
	if err := h.batchers[n].add(ctx, &e); err != nil {
		return nil, err
	}
	return &drpb.OnceFinishReply{}, nil
}
