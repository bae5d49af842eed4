package drtimeline

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// counterBits is the number of low bits of a stamp that count the events within
// one millisecond.
const counterBits = 16

// Stamp is a hybrid logical timestamp: 48 bits of wall clock time in milliseconds
// since the Unix epoch and 16 bits of counter. If a process observes the stamp that
// a message carries, its later stamps are greater, even if its own wall clock is
// behind the sender's. HybridClock.Observe ignores only stamps that are more than a
// minute ahead.
type Stamp uint64

// Time returns the wall clock part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// HybridClock is a hybrid logical clock that issues stamps. With plain wall clocks,
// a response could be ordered before its request when the clocks of the VMs differ.
// A vector clock would need an entry for each of up to 410 VMs in each message. A
// HybridClock is safe for concurrent use.
type HybridClock struct {
	clock drclock.Clock
	mu    sync.Mutex
	last  Stamp
}

// NewHybridClock returns a HybridClock that takes the wall clock time from clock.
func NewHybridClock(clock drclock.Clock) *HybridClock { return &HybridClock{clock: clock} }

// Now returns a stamp that is greater than all stamps that this clock returned or
// accepted before.
func (h *HybridClock) Now() Stamp {
	wall := Stamp(h.clock.Now().UnixMilli()) << counterBits
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = max(h.last+1, wall)
	return h.last
}

// maxForwardJump bounds how far ahead of the wall clock a received stamp may move a
// HybridClock, so that one VM with a wrong clock does not move the clocks of all
// others.
const maxForwardJump = time.Minute

// Observe moves the clock forward to a stamp that was received from another
// process. It ignores a stamp that is more than maxForwardJump ahead of the wall
// clock.
func (h *HybridClock) Observe(received Stamp) {
	latest := Stamp(h.clock.Now().Add(maxForwardJump).UnixMilli()) << counterBits
	h.mu.Lock()
	defer h.mu.Unlock()
	if received <= latest {
		h.last = max(h.last, received)
	}
}
