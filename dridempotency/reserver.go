// Package dridempotency runs calls that carry an Idempotency-Key at most once.
//
// Before an entry VM sends such a call to a backend, it reserves the key: an
// intent is appended to the log, and the first intent for a key in log order
// wins. Only the VM that asked for the winning intent may send the call. The
// outcome is appended too, so that a caller that repeats the request gets the
// recorded answer. An abandon, or an outcome that says that the call did not
// run, frees the key.
//
// Keys are hashed to partitions, and each partition is one stream of the log. A
// Reserver asks a partition's home, which is an entry VM chosen by rendezvous
// hashing, to append its entries. A Partition is the state that results from
// reading a stream.
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

// Limits and intervals of the protocol. All VMs must agree on PartitionCount.
const (
	// PartitionCount is the number of partitions, each of which is one stream
	// of the log. 8 streams with one batch per 20 ms make at most 400 appends/s,
	// which the log can take.
	PartitionCount = 8
	// MaxAnswer is the largest answer, in bytes of body and headers, that is
	// kept for replay.
	MaxAnswer = 16 << 10

	// batchWait is how long a home collects entries for one append. Above
	// highLoadEntriesPerSecond in one partition, which is 200 entries/s over all
	// of them, it collects them for highLoadBatchWait, at which all partitions
	// together make at most 200 appends/s.
	batchWait                = 20 * time.Millisecond
	highLoadBatchWait        = 40 * time.Millisecond
	highLoadEntriesPerSecond = 200.0 / PartitionCount
	// maxBatchEntries bounds the entries of one record, and with it the size of
	// the record, since the answer of each may take MaxAnswer bytes.
	maxBatchEntries = 32
	// appendTimeout bounds one append together with reading the record back.
	appendTimeout = 2 * time.Second
	// homeCallTimeout bounds the request to one home; the next home is tried
	// afterwards.
	homeCallTimeout = time.Second
	// MaxHomes is the number of VMs, in rendezvous order, that are tried as home
	// for one reservation and in each round of recording an outcome.
	MaxHomes = 3
	// grantLifetime bounds the time from a reservation to sending the call. It
	// is far below any log retention, so a VM that was paused for longer can't
	// send a call whose intent has expired.
	grantLifetime = time.Minute
	// runningPollInterval is how often a repeated request asks whether the
	// first attempt is still running, if its partition doesn't change before.
	runningPollInterval = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between two tries to
	// record an outcome or an abandon. The pause doubles after each try.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// inProgressRetryAfter is the Retry-After of the refusal of a request whose
	// first attempt is still running.
	inProgressRetryAfter = time.Second
)

// Methods of the calls from a Reserver to the Home on another VM.
const (
	methodReserve = "Reserve"
	methodFinish  = "Finish"
)

// Journal appends to the stream of one partition, and applies the stream's
// records to this VM's Partition. It must be safe for concurrent use.
type Journal interface {
	// Append adds one record and returns its offset. After an error with a
	// verdict other than drerror.NotRun the record may be in the stream, or
	// may appear there later.
	Append(ctx context.Context, entry []byte) (uint64, error)
	// WaitFor blocks until the record at offset is applied to the Partition,
	// or ctx ends.
	WaitFor(ctx context.Context, offset uint64) error
}

// Window returns the deduplication window, which is how long calls are
// remembered, for a log that retains records for retention. It is 90 % of that;
// the rest covers clock differences and readers that lag.
func Window(retention time.Duration) time.Duration { return retention - retention/10 }

// PartitionOf returns the partition of an account's key, from 0 to
// PartitionCount-1.
func PartitionOf(account, key string) int {
	return int(xxhash.Sum64String(account+"\x00"+key) % PartitionCount)
}

// Config configures a Reserver. All fields must be set. Home and Partitions are
// those of this VM, and Caller sends requests to the homes on other VMs.
type Config struct {
	Clock      drclock.Clock
	View       drmember.View
	Caller     drpeer.Caller
	Home       *Home
	Partitions [PartitionCount]*Partition
	Recorder   drtimeline.Recorder
}

// Reserver reserves keyed calls for an entry VM's gateway and records their
// outcomes. It is safe for concurrent use.
type Reserver struct {
	config     Config
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex // orders Close and the start of recordings
	recordings sync.WaitGroup
}

// New returns a Reserver, which the caller must Close.
func New(config Config) *Reserver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reserver{config: config, ctx: ctx, cancel: cancel}
}

// Drain waits until all outcomes and abandons are recorded. It returns an error
// if ctx ends first; recording then continues until Close.
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
		return fmt.Errorf("not all outcomes of idempotent calls are recorded: %w", ctx.Err())
	}
}

// Close stops recording and waits until all recordings have ended. Outcomes and
// abandons that were still being recorded are lost, and each is reported as an
// event drtimeline.OnceNotRecorded.
func (r *Reserver) Close() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.recordings.Wait()
}

// Begin reserves a call. It returns either an attempt, which the caller must
// Start or Abandon, or the recorded answer of an earlier attempt, or an error.
// While an earlier attempt is running it waits for that attempt's outcome.
// Errors are *drerror.Error with these reasons and verdicts:
//
//   - KeyReused (NotRun): the key was used for a different request.
//   - CallInProgress (MayHaveRun): an earlier attempt still runs when ctx ends.
//   - OutcomeUnknown (MayHaveRun, or Ran if the answer was too large to keep):
//     an earlier attempt ran or may have run, but there is no answer to replay.
//   - KeyExpired (MayHaveRun): the key is a version 7 UUID older than the window.
//   - LogUnavailable, Deadline, CallerGone (NotRun): the key was not reserved.
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

// checkKeyAge refuses a key that is a version 7 UUID older than the window: an
// earlier call with it may have been forgotten. The age of other keys is unknown,
// so they are accepted.
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

// recordedAnswer returns what this VM's own Partition decides without asking a
// home: that the key was used for a different request, or the recorded outcome of
// an earlier attempt, which can't change any more. Both results are nil if a home
// must be asked.
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

// replayOutcome returns the answer in a recorded outcome, or an error with
// reason OutcomeUnknown if the outcome has none.
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

// resultFromReply converts a home's reply, other than GRANTED, into Begin's
// results. final is false if the first attempt is still running, so that the
// caller must wait and ask again.
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

// waitForChange waits until changed is closed or runningPollInterval has passed.
// It returns an error with reason CallInProgress if ctx ends before.
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

// reservationError adds verdict and reason to the failure of a reservation. The
// attempt itself was not sent, but an earlier one with the same key may have
// been, which is looked up in partition.
func (r *Reserver) reservationError(ctx context.Context, partition *Partition, attempt *Attempt, err error) error {
	winner, outcome, earlier := partition.lookup(attempt.call.Account, attempt.call.Key)
	earlier = earlier && winner.GetAttempt() != attempt.id
	if earlier && outcome == nil && !r.config.Home.dispatcherDied(winner) {
		return inProgressError(err)
	}
	if earlier || errors.Is(err, errRecordsMissing) {
		return drerror.Wrap(drerror.MayHaveRun, drerror.OutcomeUnknown, err, "an earlier attempt with this Idempotency-Key may have run")
	}
	if ctx.Err() != nil {
		reason := drerror.ReasonOf(context.Cause(ctx))
		if reason != drerror.Deadline {
			reason = drerror.CallerGone
		}
		return drerror.Wrap(drerror.NotRun, reason, err, "reserving the call's Idempotency-Key")
	}
	return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "reserving the call's Idempotency-Key")
}

// errRecordsMissing means that records of the partition are missing at a home,
// so that it can't tell whether an earlier attempt exists.
var errRecordsMissing = errors.New("records of the idempotency partition are missing at its home")

// reserve asks up to MaxHomes homes of the partition in order until one replies.
// Asking a second home for the same attempt is harmless, because a repeated
// intent has no further effect. If an intent may have been appended but no
// home granted the attempt, it is abandoned, so that it can't hold the key.
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
		appendUncertain = appendUncertain || drerror.VerdictOf(err) != drerror.NotRun
		recordsMissing = recordsMissing || drerror.ReasonOf(err) == drerror.Conflict
	}
	if appendUncertain {
		attempt.Abandon()
	}
	if lastErr == nil {
		lastErr = errors.Join(ctx.Err(), errors.New("no home of the idempotency partition was asked"))
	}
	if recordsMissing {
		lastErr = errors.Join(errRecordsMissing, lastErr)
	}
	return nil, lastErr
}

// rankedHomes returns the VMs that can be the home of the call's partition, the
// preferred one first. All VMs that know the same members agree on the order.
func (r *Reserver) rankedHomes(call Call) []drmember.Member {
	name := fmt.Sprint(drlog.StreamOncePrefix, PartitionOf(call.Account, call.Key))
	return drmember.Rank(name, r.config.View.Candidates())
}

// callHome sends a request to the home on vm. If that is this VM it calls the
// Home directly.
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

// recordWithRetries records an outcome or abandon in the background and retries
// until it succeeds, which closes done, or until Close. After Close done is
// never closed.
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
