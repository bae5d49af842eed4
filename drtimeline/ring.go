package drtimeline

import "sync"

// Ring is a Recorder that keeps the newest events.
type Ring struct {
	clock  *HybridClock
	vm     string
	mu     sync.Mutex
	events []Event
	next   int
	full   bool
	lost   int64
}

// NewRing returns a ring of size events for the process on vm.
func NewRing(clock *HybridClock, vm string, size int) *Ring {
	return &Ring{clock: clock, vm: vm, events: make([]Event, size)}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	e.Stamp, e.VM = r.clock.Now(), r.vm
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		r.lost++
	}
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Events returns the kept events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var es []Event
	if r.full {
		es = append(es, r.events[r.next:]...)
	}
	return append(es, r.events[:r.next]...)
}

// Overwritten returns how many events have left the ring.
func (r *Ring) Overwritten() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
