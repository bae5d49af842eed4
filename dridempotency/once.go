// Package dridempotency executes calls that carry an Idempotency-Key at most once.
// Intents and outcomes are records in the log; the first intent for a key in
// log order may be dispatched, by the VM that asked for it, and no other.
package dridempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Constants of the protocol. All VMs must agree on PartitionCount.
const (
	// PartitionCount is the number of streams. 8 streams with a batch each
	// 20 ms make at most 400 appends/s, which the log can take.
	PartitionCount = 8
	// MaxAnswer is the size of the body that is kept for replay.
	MaxAnswer = 16 << 10

	// batchWait is how long a home collects entries for one append, and
	// loadedBatchWait under load: above loadedEntries entries/s in one
	// partition, which is 200 appends/s over all of them.
	batchWait       = 20 * time.Millisecond
	loadedBatchWait = 40 * time.Millisecond
	loadedEntries   = 200.0 / PartitionCount
	// maxBatch bounds the entries of one record, whose answers may take
	// MaxAnswer each.
	maxBatch = 32
	// appendTimeout bounds one append with its read-back.
	appendTimeout = 2 * time.Second
	// homeTimeout bounds the call of one home, before the next is tried.
	homeTimeout = time.Second
	// MaxHomes is the number of homes that are tried for one reservation.
	MaxHomes = 3
	// grantLifetime bounds the time from a reservation to its dispatch. It is
	// far below any log retention, so a VM that was paused for longer cannot
	// dispatch a call whose intent has expired.
	grantLifetime = time.Minute
	// runningPoll is the time between looks at a running first attempt.
	runningPoll = 250 * time.Millisecond
	// Pauses between attempts to record an outcome or an abandon.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// inProgressRetryAfter is the advice to a caller whose first attempt is
	// still running.
	inProgressRetryAfter = time.Second
)

// Methods of calls between VMs.
const (
	methodReserve = "Reserve"
	methodFinish  = "Finish"
)

// Journal appends to the stream of one partition and follows it into the
// Partition.
type Journal interface {
	// Append adds one record and returns its offset.
	Append(ctx context.Context, entry []byte) (uint64, error)
	// WaitFor blocks until the record at offset has been folded.
	WaitFor(ctx context.Context, offset uint64) error
}

// Window returns for how long calls are remembered if the log retains records
// for retention. The margin covers clock differences and readers that lag.
func Window(retention time.Duration) time.Duration { return retention - retention/10 }

// PartitionOf returns the partition of a key.
func PartitionOf(account, key string) int {
	return int(xxhash.Sum64String(account+"\x00"+key) % PartitionCount)
}

// Config configures a Once.
type Config struct {
	Clock      drclock.Clock
	View       drmember.View
	Caller     drpeer.Caller
	Home       *Home
	Partitions [PartitionCount]*Partition
	Recorder   drtimeline.Recorder
}

// Once reserves calls on behalf of an entry VM's gateway. It is safe for
// concurrent use.
type Once struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	group  sync.WaitGroup
}

// New returns a Once.
func New(c Config) *Once {
	ctx, cancel := context.WithCancel(context.Background())
	return &Once{config: c, ctx: ctx, cancel: cancel}
}

// Drain waits until all outcomes and abandons are recorded, or for ctx.
func (o *Once) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		o.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("outcomes not recorded: %w", ctx.Err())
	}
}

// Close gives up what is not recorded yet.
func (o *Once) Close() {
	o.mu.Lock()
	o.cancel()
	o.mu.Unlock()
	o.group.Wait()
}

// Begin reserves a call. It returns either an attempt, which the caller must
// Start or Abandon, or the recorded answer of an earlier attempt, or an error.
// Errors are *drerror.Error: KeyReused (NotRun) for another call under the
// same key, CallInProgress (MayHaveRun) if an earlier attempt still runs when
// ctx ends, OutcomeUnknown (MayHaveRun, or Ran if the answer was too large to
// keep), KeyExpired (MayHaveRun), LogUnavailable, Deadline and CallerGone
// (NotRun).
func (o *Once) Begin(ctx context.Context, c Call) (*Attempt, *Answer, error) {
	if err := o.checkAge(c.Key); err != nil {
		return nil, nil, err
	}
	p := o.config.Partitions[PartitionOf(c.Account, c.Key)]
	for {
		changed := p.Changed()
		if answer, err := o.recorded(p, c); answer != nil || err != nil {
			return nil, answer, err
		}
		a := &Attempt{once: o, call: c, id: uuid.NewString(), reserved: o.config.Clock.Now()}
		reply, err := o.reserve(ctx, a)
		if err != nil {
			return nil, nil, o.refusal(ctx, p, a, err)
		}
		if reply.GetStatus() == drpb.OnceReserveReply_GRANTED {
			if err := a.check(ctx); err != nil {
				a.Abandon()
				return nil, nil, err
			}
			return a, nil, nil
		}
		answer, err, final := o.decide(reply, c)
		if final {
			return nil, answer, err
		}
		if err := o.await(ctx, changed); err != nil {
			return nil, nil, err
		}
	}
}

// checkAge refuses a key whose call may have been forgotten.
func (o *Once) checkAge(key string) error {
	if len(key) != 36 {
		return nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return nil
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	window := o.config.Partitions[0].window
	if age := o.config.Clock.Now().Sub(time.UnixMilli(ms)); age > window {
		return drerror.New(drerror.MayHaveRun, drerror.KeyExpired,
			"Idempotency-Key was made %v ago; calls are remembered for %v", age.Truncate(time.Second), window)
	}
	return nil
}

// recorded answers from this VM's own fold what can no longer change.
func (o *Once) recorded(p *Partition, c Call) (*Answer, error) {
	intent, outcome, ok := p.lookup(c.Account, c.Key)
	switch {
	case !ok:
		return nil, nil
	case !sameFingerprint(intent, c.Fingerprint):
		return nil, keyReused(c)
	case outcome == nil:
		return nil, nil
	}
	return replay(outcome)
}

func keyReused(c Call) error {
	return drerror.New(drerror.NotRun, drerror.KeyReused,
		"Idempotency-Key was used by client account %q for a different request", c.Account)
}

func outcomeUnknown(format string, args ...any) error {
	return drerror.New(drerror.MayHaveRun, drerror.OutcomeUnknown, format, args...)
}

// replay returns the recorded answer, or why there is none.
func replay(r *drpb.OnceOutcome) (*Answer, error) {
	switch a := r.GetAnswer(); {
	case drerror.ParseVerdict(r.GetVerdict()) != drerror.Ran:
		return nil, outcomeUnknown("the first attempt ended without a known result")
	case a == nil || a.GetTruncated():
		return nil, drerror.New(drerror.Ran, drerror.OutcomeUnknown,
			"the first attempt ran with status %d; its response was too large to keep", a.GetStatus())
	default:
		return answerOf(a), nil
	}
}

// decide turns the reply for an attempt that was not granted into a result;
// final is false if the first attempt is still running.
func (o *Once) decide(r *drpb.OnceReserveReply, c Call) (answer *Answer, err error, final bool) { //nolint:revive // the error belongs to the answer
	switch r.GetStatus() {
	case drpb.OnceReserveReply_RUNNING:
		return nil, nil, false
	case drpb.OnceReserveReply_DONE:
		answer, err = replay(r.GetOutcome())
		return answer, err, true
	case drpb.OnceReserveReply_MISMATCH:
		return nil, keyReused(c), true
	default:
		return nil, outcomeUnknown("the VM that dispatched the first attempt stopped before it recorded a result"), true
	}
}

// await waits for news of a running first attempt.
func (o *Once) await(ctx context.Context, changed <-chan struct{}) error {
	t := o.config.Clock.NewTimer(runningPoll)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C():
	case <-ctx.Done():
		return inProgress(ctx.Err())
	}
	return nil
}

func inProgress(cause error) error {
	return drerror.New(drerror.MayHaveRun, drerror.CallInProgress,
		"the first attempt with this Idempotency-Key is still running: %w", cause).WithRetryAfter(inProgressRetryAfter)
}

// refusal classifies the failure of a reservation. The attempt was not
// dispatched, but an earlier one with the same key may have been.
func (o *Once) refusal(ctx context.Context, p *Partition, a *Attempt, err error) error {
	winner, outcome, ok := p.lookup(a.call.Account, a.call.Key)
	ok = ok && winner.GetAttempt() != a.id
	if ok && outcome == nil && !o.config.Home.died(winner) {
		return inProgress(err)
	}
	if ok || errors.Is(err, errIncomplete) {
		return drerror.Wrap(drerror.MayHaveRun, drerror.OutcomeUnknown, err, "an earlier attempt may have run")
	}
	if ctx.Err() != nil {
		reason := drerror.ReasonOf(context.Cause(ctx))
		if reason != drerror.Deadline {
			reason = drerror.CallerGone
		}
		return drerror.Wrap(drerror.NotRun, reason, err, "reserving the call")
	}
	return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "reserving the call")
}

// errIncomplete says that a home misses records of the partition.
var errIncomplete = errors.New("records of the partition are missing")

// reserve asks the homes of the partition in order. Asking a second home for
// the same attempt is harmless: its intent has the same effect. If the fate of
// an intent is not known the attempt is abandoned.
func (o *Once) reserve(ctx context.Context, a *Attempt) (*drpb.OnceReserveReply, error) {
	self := o.config.View.Self()
	request := &drpb.OnceReserveRequest{Intent: &drpb.OnceIntent{
		Account: a.call.Account, Key: a.call.Key, Fingerprint: a.call.Fingerprint,
		Attempt: a.id, Vm: self.VM, Incarnation: self.Incarnation,
	}}
	var last error
	unresolved, incomplete := false, false
	for i, m := range o.homes(a.call) {
		if i == MaxHomes || ctx.Err() != nil {
			break
		}
		var reply drpb.OnceReserveReply
		err := o.callHome(ctx, m.VM, methodReserve, request, &reply)
		if err == nil {
			if unresolved && reply.GetStatus() != drpb.OnceReserveReply_GRANTED {
				a.Abandon()
			}
			return &reply, nil
		}
		last = err
		unresolved = unresolved || drerror.Of(err) != drerror.NotRun
		incomplete = incomplete || drerror.ReasonOf(err) == drerror.Conflict
	}
	if unresolved {
		a.Abandon()
	}
	if last == nil {
		last = errors.Join(ctx.Err(), errors.New("no home was reached"))
	}
	if incomplete {
		last = errors.Join(errIncomplete, last)
	}
	return nil, last
}

func (o *Once) homes(c Call) []drmember.Member {
	name := fmt.Sprint(drlog.StreamOncePrefix, PartitionOf(c.Account, c.Key))
	return drmember.Rank(name, o.config.View.Candidates())
}

// callHome calls a home, which may be on this VM.
func (o *Once) callHome(ctx context.Context, vm, method string, req, resp proto.Message) error {
	ctx, cancel := drclock.WithTimeout(ctx, o.config.Clock, homeTimeout)
	defer cancel()
	if vm != o.config.View.Self().VM {
		return o.config.Caller.Call(ctx, vm, method, req, resp)
	}
	var m proto.Message
	var err error
	switch r := req.(type) {
	case *drpb.OnceReserveRequest:
		m, err = o.config.Home.reserve(ctx, r.GetIntent())
	case *drpb.OnceFinishRequest:
		m, err = o.config.Home.finish(ctx, r)
	}
	if err != nil {
		return err
	}
	proto.Merge(resp, m)
	return nil
}

// record writes an outcome or abandon, and repeats that until it succeeds.
// done is closed then.
func (o *Once) record(c Call, r *drpb.OnceFinishRequest) (done <-chan struct{}) {
	ch := make(chan struct{})
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		return ch
	}
	o.group.Go(func() {
		for pause := minRetry; ; pause = min(maxRetry, 2*pause) {
			for i, m := range o.homes(c) {
				if i == MaxHomes {
					break
				}
				if o.callHome(o.ctx, m.VM, methodFinish, r, &drpb.OnceFinishReply{}) == nil {
					close(ch)
					return
				}
			}
			if o.config.Clock.Sleep(o.ctx, pause) != nil {
				o.config.Recorder.Record(drtimeline.Event{
					Name: drtimeline.OnceNotRecorded, RequestID: c.RequestID, Account: c.Account,
				})
				return
			}
		}
	})
	return ch
}
