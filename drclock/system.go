package drclock

import (
	"context"
	"time"
)

// System is the Clock and the Uptime of the operating system. The zero value is
// ready for use.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Since implements Clock.
func (System) Since(t time.Time) time.Duration { return time.Since(t) }

// Sleep implements Clock.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewTimer implements Clock.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

type systemTimer struct{ timer *time.Timer }

func (s systemTimer) C() <-chan time.Time { return s.timer.C }
func (s systemTimer) Stop() bool          { return s.timer.Stop() }
