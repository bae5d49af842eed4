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
	batchWait                = 20 * time.Millisecond
	highLoadBatchWait        = 40 * time.Millisecond
	highLoadEntriesPerSecond = 200.0 / PartitionCount
	// maxBatchEntries bounds the entries of one record, whose answers may take
	// MaxAnswer each.
	maxBatchEntries = 32
	// appendTimeout bounds one append with its read-back.
	appendTimeout = 2 * time.Second
	// homeCallTimeout bounds the call of one home, before the next is tried.
	homeCallTimeout = time.Second
	// MaxHomes is the number of homes that are tried for one reservation.
	MaxHomes = 3
	// grantLifetime bounds the time from a reservation to its dispatch. It is
	// far below any log retention, so a VM that was paused for longer cannot
	// dispatch a call whose intent has expired.
	grantLifetime = time.Minute
	// runningPollInterval is the time between looks at a running first attempt.
	runningPollInterval = 250 * time.Millisecond
	// Pauses between attempts to record an outcome or an abandon.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
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

// Reserver reserves calls on behalf of an entry VM's gateway. It is safe for
// concurrent use.
type Reserver struct {
	config     Config
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex
	recordings sync.WaitGroup
}

// New returns a Once.
func New(config Config) *Reserver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reserver{config: config, ctx: ctx, cancel: cancel}
}

// Drain waits until all outcomes and abandons are recorded, or for ctx.
func (r *Reserver) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.recordings.Wait()
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
func (r *Reserver) Close() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.recordings.Wait()
}

// Begin reserves a call. It returns either an attempt, which the caller must
// Start or Abandon, or the recorded answer of an earlier attempt, or an error.
// Errors are *drerror.Error: KeyReused (NotRun) for another call under the
// same key, CallInProgress (MayHaveRun) if an earlier attempt still runs when
// ctx ends, OutcomeUnknown (MayHaveRun, or Ran if the answer was too large to
// keep), KeyExpired (MayHaveRun), LogUnavailable, Deadline and CallerGone
// (NotRun).
func (r *Reserver) Begin(ctx context.Context, call Call) (*Attempt, *Answer, error) {
	if err := r.checkKeyAge(call.Key); err != nil {
		return nil, nil, err
	}
	partition := r.config.Partitions[PartitionOf(call.Account, call.Key)]
	for {
		changed := partition.Changed()
		if answer, err := r.recordedAnswer(partition, call); answer != nil || err != nil {
			return nil, answer, err
		}
		attempt := &Attempt{reserver: r, call: call, id: uuid.NewString(), reservedAt: r.config.Clock.Now()}
		reply, err := r.reserve(ctx, attempt)
		if err != nil {
			return nil, nil, r.reservationError(ctx, partition, attempt, err)
		}
		if reply.GetStatus() == drpb.OnceReserveReply_GRANTED {
			if err := attempt.checkDispatchable(ctx); err != nil {
				attempt.Abandon()
				return nil, nil, err
			}
			return attempt, nil, nil
		}
		answer, err, final := r.resultFromReply(reply, call)
		if final {
			return nil, answer, err
		}
		if err := r.waitForChange(ctx, changed); err != nil {
			return nil, nil, err
		}
	}
}

// checkKeyAge refuses a key whose call may have been forgotten.
func (r *Reserver) checkKeyAge(key string) error {
	if len(key) != 36 {
		return nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return nil
	}
	millis := int64(0)
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	window := r.config.Partitions[0].window
	if age := r.config.Clock.Now().Sub(time.UnixMilli(millis)); age > window {
		return drerror.New(drerror.MayHaveRun, drerror.KeyExpired,
			"Idempotency-Key was made %v ago; calls are remembered for %v", age.Truncate(time.Second), window)
	}
	return nil
}

// recordedAnswer answers from this VM's own fold what can no longer change.
func (r *Reserver) recordedAnswer(partition *Partition, call Call) (*Answer, error) {
	intent, outcome, ok := partition.lookup(call.Account, call.Key)
	switch {
	case !ok:
		return nil, nil
	case !sameFingerprint(intent, call.Fingerprint):
		return nil, keyReusedError(call)
	case outcome == nil:
		return nil, nil
	}
	return replayOutcome(outcome)
}

func keyReusedError(call Call) error {
	return drerror.New(drerror.NotRun, drerror.KeyReused,
		"Idempotency-Key was used by client account %q for a different request", call.Account)
}

func outcomeUnknownError(format string, args ...any) error {
	return drerror.New(drerror.MayHaveRun, drerror.OutcomeUnknown, format, args...)
}

// replayOutcome returns the recorded answer, or why there is none.
func replayOutcome(outcome *drpb.OnceOutcome) (*Answer, error) {
	switch answer := outcome.GetAnswer(); {
	case drerror.ParseVerdict(outcome.GetVerdict()) != drerror.Ran:
		return nil, outcomeUnknownError("the first attempt ended without a known result")
	case answer == nil || answer.GetTruncated():
		return nil, drerror.New(drerror.Ran, drerror.OutcomeUnknown,
			"the first attempt ran with status %d; its response was too large to keep", answer.GetStatus())
	default:
		return answerFromProto(answer), nil
	}
}

// resultFromReply turns the reply for an attempt that was not granted into a result;
// final is false if the first attempt is still running.
func (r *Reserver) resultFromReply(reply *drpb.OnceReserveReply, call Call) (answer *Answer, err error, final bool) { //nolint:revive // the error belongs to the answer
	switch reply.GetStatus() {
	case drpb.OnceReserveReply_RUNNING:
		return nil, nil, false
	case drpb.OnceReserveReply_DONE:
		answer, err = replayOutcome(reply.GetOutcome())
		return answer, err, true
	case drpb.OnceReserveReply_MISMATCH:
		return nil, keyReusedError(call), true
	default:
		return nil, outcomeUnknownError("the VM that dispatched the first attempt stopped before it recorded a result"), true
	}
}

// waitForChange waits for news of a running first attempt.
func (r *Reserver) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	timer := r.config.Clock.NewTimer(runningPollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C():
	case <-ctx.Done():
		return inProgressError(ctx.Err())
	}
	return nil
}

func inProgressError(cause error) error {
	return drerror.New(drerror.MayHaveRun, drerror.CallInProgress,
		"the first attempt with this Idempotency-Key is still running: %w", cause).WithRetryAfter(inProgressRetryAfter)
}

// reservationError classifies the failure of a reservation. The attempt was not
// dispatched, but an earlier one with the same key may have been.
func (r *Reserver) reservationError(ctx context.Context, partition *Partition, attempt *Attempt, err error) error {
	winner, outcome, earlier := partition.lookup(attempt.call.Account, attempt.call.Key)
	earlier = earlier && winner.GetAttempt() != attempt.id
	if earlier && outcome == nil && !r.config.Home.dispatcherDied(winner) {
		return inProgressError(err)
	}
	if earlier || errors.Is(err, errRecordsMissing) {
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

// errRecordsMissing says that a home misses records of the partition.
var errRecordsMissing = errors.New("records of the partition are missing")

// reserve asks the homes of the partition in order. Asking a second home for
// the same attempt is harmless: its intent has the same effect. If the fate of
// an intent is not known the attempt is abandoned.
func (r *Reserver) reserve(ctx context.Context, attempt *Attempt) (*drpb.OnceReserveReply, error) {
	self := r.config.View.Self()
	request := &drpb.OnceReserveRequest{Intent: &drpb.OnceIntent{
		Account: attempt.call.Account, Key: attempt.call.Key, Fingerprint: attempt.call.Fingerprint,
		Attempt: attempt.id, Vm: self.VM, Incarnation: self.Incarnation,
	}}
	var lastErr error
	appendUncertain, recordsMissing := false, false
	for i, home := range r.rankedHomes(attempt.call) {
		if i == MaxHomes || ctx.Err() != nil {
			break
		}
		var reply drpb.OnceReserveReply
		err := r.callHome(ctx, home.VM, methodReserve, request, &reply)
		if err == nil {
			if appendUncertain && reply.GetStatus() != drpb.OnceReserveReply_GRANTED {
				attempt.Abandon()
			}
			return &reply, nil
		}
		lastErr = err
		appendUncertain = appendUncertain || drerror.Of(err) != drerror.NotRun
		recordsMissing = recordsMissing || drerror.ReasonOf(err) == drerror.Conflict
	}
	if appendUncertain {
		attempt.Abandon()
	}
	if lastErr == nil {
		lastErr = errors.Join(ctx.Err(), errors.New("no home was reached"))
	}
	if recordsMissing {
		lastErr = errors.Join(errRecordsMissing, lastErr)
	}
	return nil, lastErr
}

func (r *Reserver) rankedHomes(call Call) []drmember.Member {
	name := fmt.Sprint(drlog.StreamOncePrefix, PartitionOf(call.Account, call.Key))
	return drmember.Rank(name, r.config.View.Candidates())
}

// callHome calls a home, which may be on this VM.
func (r *Reserver) callHome(ctx context.Context, vm, method string, req, resp proto.Message) error {
	ctx, cancel := drclock.WithTimeout(ctx, r.config.Clock, homeCallTimeout)
	defer cancel()
	if vm != r.config.View.Self().VM {
		return r.config.Caller.Call(ctx, vm, method, req, resp)
	}
	var reply proto.Message
	var err error
	switch request := req.(type) {
	case *drpb.OnceReserveRequest:
		reply, err = r.config.Home.reserve(ctx, request.GetIntent())
	case *drpb.OnceFinishRequest:
		reply, err = r.config.Home.finish(ctx, request)
	}
	if err != nil {
		return err
	}
	proto.Merge(resp, reply)
	return nil
}

// recordWithRetries writes an outcome or abandon, and repeats that until it succeeds.
// done is closed then.
func (r *Reserver) recordWithRetries(call Call, request *drpb.OnceFinishRequest) (done <-chan struct{}) {
	recorded := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return recorded
	}
	r.recordings.Go(func() {
		for pause := minRetryPause; ; pause = min(maxRetryPause, 2*pause) {
			for i, home := range r.rankedHomes(call) {
				if i == MaxHomes {
					break
				}
				if r.callHome(r.ctx, home.VM, methodFinish, request, &drpb.OnceFinishReply{}) == nil {
					close(recorded)
					return
				}
			}
			if r.config.Clock.Sleep(r.ctx, pause) != nil {
				r.config.Recorder.Record(drtimeline.Event{
					Name: drtimeline.OnceNotRecorded, RequestID: call.RequestID, Account: call.Account,
				})
				return
			}
		}
	})
	return recorded
}
