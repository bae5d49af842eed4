package drlog

import (
	"sync"
	"time"
)

// progress is how far a Follower has come. It has its own lock, so that the
// Follower can be asked from code that the Folder calls while a record is
// applied, and from holders of locks which that code takes.
type progress struct {
	mu        sync.Mutex
	offset    uint64 // last applied
	confirmed time.Time
	advanced  chan struct{} // closed when the offset grows
}

func newProgress() *progress { return &progress{advanced: make(chan struct{})} }

// appliedOffset returns the offset of the last applied record.
func (p *progress) appliedOffset() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offset
}

// confirmedAt returns when the head of the stream was last confirmed.
func (p *progress) confirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed
}

// advance notes that the Folder holds the record at offset.
func (p *progress) advance(offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offset = offset
	close(p.advanced)
	p.advanced = make(chan struct{})
}

// confirm notes that the head was confirmed at a time.
func (p *progress) confirm(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.confirmed) {
		p.confirmed = at
	}
}

// watch returns the held offset and a channel that is closed when it grows.
func (p *progress) watch() (uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offset, p.advanced
}
