package drproxy

import (
	"sync"
	"time"
)

// deadlines keeps the longest deadline that clients have stated with new requests of each
// route. It is safe for concurrent use.
type deadlines struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

func newDeadlines() *deadlines { return &deadlines{longest: make(map[string]time.Duration)} }

// add notes the deadline of a new request.
func (d *deadlines) add(route string, deadline time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longest[route] = max(d.longest[route], deadline)
}

// of returns the longest deadline of a route's requests, 0 if there has been none.
func (d *deadlines) of(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longest[route]
}
