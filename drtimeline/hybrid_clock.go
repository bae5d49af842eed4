package drtimeline

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// counterBits is the part of a stamp that counts events within one tick.
const counterBits = 16

// Stamp is a hybrid logical time: 48 bits of wall clock milliseconds and 16
// bits of counter. A stamp taken after a message was received is greater than
// the stamp that the message carried, whatever the skew between the clocks.
type Stamp uint64

// Time returns the wall clock part.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// HybridClock gives out stamps. A plain wall clock would show an answer
// before its request when the VMs' clocks differ; a vector clock would need an
// entry for each of up to 410 VMs in each message.
type HybridClock struct {
	clock drclock.Clock
	mu    sync.Mutex
	last  Stamp
}

// NewHybridClock returns a clock based on c.
func NewHybridClock(clock drclock.Clock) *HybridClock { return &HybridClock{clock: clock} }

// Now returns a stamp greater than all that were returned or observed.
func (h *HybridClock) Now() Stamp {
	wall := Stamp(h.clock.Now().UnixMilli()) << counterBits
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = max(h.last+1, wall)
	return h.last
}

// maxForwardJump bounds how far a received stamp may move the clock forward, so that
// one VM with a broken clock does not move all others.
const maxForwardJump = time.Minute

// Observe takes note of a stamp received from another process.
func (h *HybridClock) Observe(received Stamp) {
	latest := Stamp(h.clock.Now().Add(maxForwardJump).UnixMilli()) << counterBits
	h.mu.Lock()
	defer h.mu.Unlock()
	if received <= latest {
		h.last = max(h.last, received)
	}
}
