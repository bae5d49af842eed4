package drnet

import (
	"sync"
	"time"
)

// deadline is a time that can be changed while others wait for it. Deadlines
// of net.Conn are readings of the system clock, hence the system's timers.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	// notify is closed at the deadline, or when the deadline changes, so
	// that those who wait look again.
	notify chan struct{}
	at     time.Time
}

func newDeadline() *deadline { return &deadline{notify: make(chan struct{})} }

// set moves the deadline; the zero time means none.
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

func (d *deadline) passedLocked() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// notification returns a channel that is closed when the deadline passes or changes.
// It is closed already if the deadline has passed.
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
