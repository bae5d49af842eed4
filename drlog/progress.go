package drlog

import (
	"sync"
	"time"
)

// progress tracks how far a Follower has come. It has its own lock because code
// that Folder.Apply calls reads it while Follower.mu is held, and so do goroutines
// that hold a lock which that code needs. If they took Follower.mu instead, they
// would deadlock.
type progress struct {
	mu        sync.Mutex
	offset    uint64        // last applied
	confirmed time.Time     // latest local time known to be caught up
	advanced  chan struct{} // closed and replaced when the offset grows
}

func newProgress() *progress { return &progress{advanced: make(chan struct{})} }

// appliedOffset returns the offset of the last applied record, 0 if none.
func (p *progress) appliedOffset() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offset
}

// confirmedAt returns the latest local time at which all records of the stream were
// known to be applied, zero if never.
func (p *progress) confirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed
}

// advance sets the applied offset and wakes those who wait for it.
func (p *progress) advance(offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offset = offset
	close(p.advanced)
	p.advanced = make(chan struct{})
}

// confirm stores that all records of the stream were applied at a time. Earlier
// times than the stored one are ignored.
func (p *progress) confirm(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.confirmed) {
		p.confirmed = at
	}
}

// watch returns the applied offset and a channel that is closed when it grows.
func (p *progress) watch() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offset, p.advanced
}
