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
	// reached is closed at the deadline, or when the deadline changes, so
	// that those who wait look again.
	reached chan struct{}
	at      time.Time
}

func newDeadline() *deadline { return &deadline{reached: make(chan struct{})} }

// set moves the deadline; the zero time means none.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	close(d.reached)
	current := make(chan struct{})
	d.reached = current
	if t.IsZero() {
		return
	}
	d.timer = time.AfterFunc(time.Until(t), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.reached == current {
			close(current)
			d.reached = make(chan struct{})
		}
	})
}

// expired reports whether the deadline has passed.
func (d *deadline) expired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed()
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// wait returns a channel that is closed when the deadline passes or changes.
// It is closed already if the deadline has passed.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passed() {
		c := make(chan struct{})
		close(c)
		return c
	}
	return d.reached
}
