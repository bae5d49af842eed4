package drtimeline

import "sync"

// Ring is a Recorder with a ring buffer that keeps the newest events. It is safe for
// concurrent use.
type Ring struct {
	clock       *HybridClock
	vm          string
	mu          sync.Mutex
	events      []Event
	nextIndex   int
	full        bool
	overwritten int64
}

// NewRing returns a ring that keeps up to capacity events, at least 1, of the process
// on the entry VM vm. It stamps the events with clock.
func NewRing(clock *HybridClock, vm string, capacity int) *Ring {
	return &Ring{clock: clock, vm: vm, events: make([]Event, capacity)}
}

// Record implements Recorder. It overwrites the oldest event if the ring is full.
func (r *Ring) Record(event Event) {
	event.Stamp, event.VM = r.clock.Now(), r.vm
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		r.overwritten++
	}
	r.events[r.nextIndex] = event
	r.nextIndex++
	if r.nextIndex == len(r.events) {
		r.nextIndex, r.full = 0, true
	}
}

// Events returns a copy of the kept events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	if r.full {
		events = append(events, r.events[r.nextIndex:]...)
	}
	return append(events, r.events[:r.nextIndex]...)
}

// Overwritten returns the number of events that newer ones have overwritten since
// the ring was made.
func (r *Ring) Overwritten() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overwritten
}
