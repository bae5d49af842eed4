package drclock

import (
	"context"
	"sync"
	"time"
)

// Fake is a Clock and an Uptime for tests. Its time changes only when Advance is
// called. It is safe for concurrent use.
type Fake struct {
	mu         sync.Mutex
	now        time.Time
	timers     map[*fakeTimer]struct{}
	timerAdded *sync.Cond
	// suspended is the sum of the durations passed to Suspend.
	suspended time.Duration
}

// NewFake returns a Fake whose current time is start.
func NewFake(start time.Time) *Fake {
	f := &Fake{now: start, timers: make(map[*fakeTimer]struct{})}
	f.timerAdded = sync.NewCond(&f.mu)
	return f
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Since implements Clock.
func (f *Fake) Since(t time.Time) time.Duration { return f.Now().Sub(t) }

// Sleep implements Clock. Unless d is 0 or less, it blocks until another
// goroutine calls Advance or ctx ends.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	t := f.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewTimer implements Clock.
func (f *Fake) NewTimer(d time.Duration) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{clock: f, due: f.now.Add(d), channel: make(chan time.Time, 1)}
	if d <= 0 {
		t.channel <- f.now
		return t
	}
	f.timers[t] = struct{}{}
	f.timerAdded.Broadcast()
	return t
}

// Advance moves the clock forward by d and fires the timers that are due, in no
// particular order. All of them send the time at the end of the step.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for t := range f.timers {
		if !t.due.After(f.now) {
			delete(f.timers, t)
			t.channel <- f.now
		}
	}
}

// BlockUntil waits until at least n timers are pending, including those of Sleep
// and WithTimeout. A test calls it before Advance, so that the goroutine under
// test has started its timer when the time changes.
func (f *Fake) BlockUntil(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.timers) < n {
		f.timerAdded.Wait()
	}
}

type fakeTimer struct {
	clock   *Fake
	due     time.Time
	channel chan time.Time
}

func (t *fakeTimer) C() <-chan time.Time { return t.channel }

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}

// Uptime implements Uptime. It returns the time since the Unix epoch plus the
// time added by Suspend, as if the VM had started at the epoch.
func (f *Fake) Uptime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Sub(time.Unix(0, 0)) + f.suspended
}

// Suspend moves the uptime forward by d and leaves the clock as it is, as when
// a VM is suspended for d.
func (f *Fake) Suspend(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended += d
}
