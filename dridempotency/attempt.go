package dridempotency

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Attempt is the right to dispatch a call once.
type Attempt struct {
	reserver   *Reserver
	call       Call
	id         string
	reservedAt time.Time

	mu    sync.Mutex
	state attemptState
}

type attemptState int

const (
	reserved attemptState = iota
	started
	ended
)

// Start uses up the right to dispatch. The call may be sent if and only if
// Start returns nil; else the attempt is abandoned and the error has verdict
// NotRun.
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
		return drerror.New(drerror.NotRun, drerror.Conflict, "the attempt was started or abandoned before")
	}
	a.Abandon()
	return err
}

// checkDispatchable refuses an attempt that is too old to be dispatched.
func (a *Attempt) checkDispatchable(ctx context.Context) error {
	if ctx.Err() != nil {
		return a.reserver.reservationError(ctx, emptyPartition, a, ctx.Err())
	}
	if age := a.reserver.config.Clock.Since(a.reservedAt); age > grantLifetime {
		return drerror.New(drerror.NotRun, drerror.Deadline, "reservation is %v old", age)
	}
	return nil
}

// emptyPartition knows no earlier attempts: a granted attempt is the first.
var emptyPartition = NewPartition(0)

// Finish records the outcome of a started attempt. Verdict NotRun frees the
// key. It returns when the outcome is recorded or ctx ends; in the second case
// recording continues.
func (a *Attempt) Finish(ctx context.Context, outcome Outcome) error {
	a.mu.Lock()
	if a.state != started {
		a.mu.Unlock()
		return fmt.Errorf("attempt %s has not been started or has ended", a.id)
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
		return fmt.Errorf("outcome not recorded yet: %w", ctx.Err())
	}
}

// Abandon gives up an attempt that was not started, and frees the key. It
// returns at once. On a started attempt it does nothing.
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
