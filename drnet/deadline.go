package drnet

import (
	"sync"
	"time"
)

// deadline is a point in time that can be changed while goroutines wait for it.
// It uses the system's timers and no drclock.Clock, because callers of net.Conn
// compute deadlines from the system clock.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	// notify is closed and replaced when the deadline passes or changes, so
	// that waiting goroutines check expired again.
	notify chan struct{}
	at     time.Time // the zero time means no deadline
}

func newDeadline() *deadline { return &deadline{notify: make(chan struct{})} }

// set changes the deadline and wakes the goroutines that wait for it. The zero
// time means no deadline.
func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	close(d.notify)
	current := make(chan struct{})
	d.notify = current
	if at.IsZero() {
		return
	}
	d.timer = time.AfterFunc(time.Until(at), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.notify == current {
			close(current)
			d.notify = make(chan struct{})
		}
	})
}

// expired reports whether the deadline has passed.
func (d *deadline) expired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passedLocked()
}

// passedLocked reports whether the deadline has passed. The caller holds mu.
func (d *deadline) passedLocked() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// notification returns a channel that is closed when the deadline passes or
// changes. If the deadline has passed, the channel is closed already.
func (d *deadline) notification() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passedLocked() {
		c := make(chan struct{})
		close(c)
		return c
	}
	return d.notify
}
