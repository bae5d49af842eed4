package drcrash

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Tally adds up the crashes that all VMs have seen. It is safe for concurrent use.
type Tally struct {
	clock drclock.Clock

	mu      sync.Mutex
	records records
	blocks  blocks
}

// NewTally returns a Tally without crashes.
func NewTally(c drclock.Clock) *Tally {
	return &Tally{clock: c, records: make(records), blocks: make(blocks)}
}

// Add adds the report of a VM and returns the requests that are to be refused from
// now on.
func (t *Tally) Add(vm string, report Report) (blocked []drrequest.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.records.dropExpired(now)
	t.blocks.adopt(report.Blocks, now)
	for _, c := range report.Crashes {
		if !t.records.add(c, now) {
			continue
		}
		b, known := t.blocks[c.Request]
		switch {
		case known:
			b.recordCrash(now)
		case len(t.records[c.Request].runners) >= MaxCrashes:
			t.blocks.add(c.Request, now)
			blocked = append(blocked, c.Request)
		}
	}
	for _, request := range report.Refused {
		if b, known := t.blocks[request]; known {
			b.recordRefusal(vm, now)
		}
	}
	for _, request := range report.Cleared {
		delete(t.records, request)
		delete(t.blocks, request)
	}
	return blocked
}

// BlocksFor returns what a VM is to be told. A try of a blocked request is granted
// to a VM only once.
func (t *Tally) BlocksFor(vm string) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.blocks.dropLifted(now)
	return t.blocks.listFor(vm, now)
}
