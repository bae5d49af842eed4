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
func (t *Tally) Add(report Report) (blocked []drrequest.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.records.dropExpired(now)
	t.blocks.adopt(report.Blocks, now)
	for _, c := range report.Crashes {
		if !t.records.add(c, now) {
			continue
		}
		_, known := t.blocks[c.Request]
		if !known && len(t.records[c.Request].runners) < MaxCrashes {
			continue
		}
		t.blocks[c.Request] = now.Add(blockTime)
		if !known {
			blocked = append(blocked, c.Request)
		}
	}
	for _, request := range report.Cleared {
		delete(t.records, request)
		delete(t.blocks, request)
	}
	return blocked
}

// Blocks returns the blocks in force.
func (t *Tally) Blocks() []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.blocks.dropLifted(now)
	return t.blocks.list(now)
}
