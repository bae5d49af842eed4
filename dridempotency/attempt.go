package dridempotency

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Attempt is the right to send one call to its backend once. Use it as
// follows: Start, send the call, Finish; or Abandon instead of Start. It is
// safe for concurrent use.
type Attempt struct {
	reserver   *Reserver
	call       Call
	id         string // a random UUID that names the attempt in the log
	reservedAt time.Time

	mu    sync.Mutex // guards state
	state attemptState
}

type attemptState int

const (
	reserved attemptState = iota
	started
	ended
)

// Start must be called right before the call is sent. The call may be sent if
// and only if Start returns nil, which it does at most once for an attempt.
// If ctx has ended or the reservation is older than grantLifetime, Start
// abandons the attempt. All its errors have verdict NotRun.
func (a *Attempt) Start(ctx context.Context) error {
	err := a.checkDispatchable(ctx)
	a.mu.Lock()
	if err == nil && a.state == reserved {
		a.state = started
		a.mu.Unlock()
		return nil
	}
	a.mu.Unlock()
	if err == nil {
		return drerror.New(drerror.NotRun, drerror.Conflict, "the attempt was already started or abandoned")
	}
	a.Abandon()
	return err
}

// checkDispatchable returns an error if ctx has ended or if the reservation is
// older than grantLifetime, so that the call must not be sent.
func (a *Attempt) checkDispatchable(ctx context.Context) error {
	if ctx.Err() != nil {
		return a.reserver.reservationError(ctx, emptyPartition, a, ctx.Err())
	}
	if age := a.reserver.config.Clock.Since(a.reservedAt); age > grantLifetime {
		return drerror.New(drerror.NotRun, drerror.Deadline, "the reservation is %v old, which is too old to send the call", age)
	}
	return nil
}

// emptyPartition is passed to reservationError for granted attempts. A granted
// attempt is the first one with its key, so there is no earlier one to look up.
var emptyPartition = NewPartition(0)

// Finish records the outcome of a started attempt. Verdict NotRun frees the
// key, so that the call may be sent again. Finish returns nil when the outcome
// is recorded. If ctx ends first it returns an error, and recording continues
// in the background until Reserver.Close.
func (a *Attempt) Finish(ctx context.Context, outcome Outcome) error {
	a.mu.Lock()
	if a.state != started {
		a.mu.Unlock()
		return fmt.Errorf("finishing attempt %s: it was not started or has already ended", a.id)
	}
	a.state = ended
	a.mu.Unlock()
	done := a.reserver.recordWithRetries(a.call, &drpb.OnceFinishRequest{Outcome: &drpb.OnceOutcome{
		Account: a.call.Account, Key: a.call.Key, Attempt: a.id,
		Verdict: outcome.Verdict.String(), Answer: outcome.Answer.toProto(),
	}})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the outcome of the call is not recorded yet: %w", ctx.Err())
	}
}

// Abandon gives up an attempt that was not started and frees its key. It
// returns at once and records the abandon in the background. It does nothing
// if the attempt was started or has ended.
func (a *Attempt) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != reserved {
		return
	}
	a.state = ended
	a.reserver.recordWithRetries(a.call, &drpb.OnceFinishRequest{Abandon: &drpb.OnceAbandon{
		Account: a.call.Account, Key: a.call.Key, Attempt: a.id,
	}})
}
