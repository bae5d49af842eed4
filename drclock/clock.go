// Package drclock provides the clock that every time-dependent part of the
// system takes as a dependency, so that tests control the passage of time.
package drclock

import (
	"context"
	"time"
)

// Clock tells the time and waits. Readings of Now carry Go's monotonic clock,
// so Sub and Since are unaffected by steps of the wall clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Since returns the time elapsed since t.
	Since(t time.Time) time.Duration
	// Sleep blocks for d or until ctx ends, whose error it then returns.
	Sleep(ctx context.Context, d time.Duration) error
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer fires once on its channel.
type Timer interface {
	// C returns the channel on which the time is delivered.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it did so.
	Stop() bool
}

// WithTimeout returns a context that is cancelled with cause
// context.DeadlineExceeded once d has passed on clock c.
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
