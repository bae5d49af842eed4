package drplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// Guards against a VM that joins and takes all slots of the first VM at once: a
// slot with a new holder is not lent for half the duration of a loan, so no
// load could begin meanwhile.
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

// Guards against a VM that starts and takes slots from holders that it has not
// discovered yet, and against a slot whose holder is never discovered and stays
// with it.
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
