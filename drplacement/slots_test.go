package drplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// Guards against a joining VM that takes all slots of the first one: each moved
// slot rests for half a loan, and no load can begin meanwhile.
func TestHolderKeepsItsShareOfSlots(t *testing.T) {
	is := is.New(t)
	held := make(map[uint32]Slot)
	for n := range uint32(4) {
		held[n] = Slot{Number: n, VM: "a"}
	}
	surplus := surplusSlots(held, 2, func(uint32) string { return "b" })
	is.Equal(len(surplus), 2)
	is.Equal(len(surplusSlots(held, 2, func(uint32) string { return "a" })), 0)
	for n := range surplus {
		held[n] = Slot{Number: n, VM: "b"}
	}
	is.Equal(len(surplusSlots(held, 2, func(uint32) string { return "c" })), 0)
}

// Guards against a starting VM that takes slots from holders of which it has
// not heard yet, and against a slot whose holder never appears.
func TestUnheardHolderKeepsItsSlots(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	s := newSlots(&Placement{Config: Config{Clock: clock}})
	f := newVMStates(stubView{goneVM: "old", members: []drmember.Member{{VM: "a", State: drmember.Alive}, {VM: "b", State: drmember.Unreachable}}})
	is.True(s.awaitingDiscovery("unknown", f))
	is.True(!s.awaitingDiscovery("b", f) && !s.awaitingDiscovery("old", f) && !s.awaitingDiscovery("", f))
	clock.Advance(claimDelay)
	is.True(!s.awaitingDiscovery("unknown", f))
}
