package drplace

import (
	"testing"

	"github.com/matryer/is"
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
