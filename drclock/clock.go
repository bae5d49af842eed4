// Package drclock provides the clock that all time-dependent parts of the system
// take as a dependency, so that tests can control the time.
package drclock

import (
	"context"
	"time"
)

// Clock tells the time and waits. The times that System returns carry Go's
// monotonic clock reading, so that steps of the wall clock do not affect Sub and
// Since. Clocks are safe for concurrent use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Since returns the time elapsed since t.
	Since(t time.Time) time.Duration
	// Sleep blocks until d has passed and returns nil, or until ctx ends and
	// returns ctx's error.
	Sleep(ctx context.Context, d time.Duration) error
	// NewTimer returns a timer that fires once after d, or at once if d is not
	// positive.
	NewTimer(d time.Duration) Timer
}

// Timer sends the time on its channel once, unless it is stopped before.
type Timer interface {
	// C returns the channel on which the timer sends. Each call returns the
	// same channel.
	C() <-chan time.Time
	// Stop prevents the timer from firing. It returns false if the timer has
	// fired or was stopped before.
	Stop() bool
}

// WithTimeout returns a context that ends with the cause
// context.DeadlineExceeded once timeout has passed on clock. The caller must
// call the cancel function, as with context.WithTimeout. With System, timeout
// also sets the context's Deadline, and Err returns context.DeadlineExceeded.
// With any other clock, Err returns context.Canceled and only the cause tells.
func WithTimeout(ctx context.Context, clock Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := clock.(System); ok {
		return context.WithTimeout(ctx, timeout)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.NewTimer(timeout)
	go func() {
		select {
		case <-timer.C():
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
			timer.Stop()
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
