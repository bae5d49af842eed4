package drplacement

// SlotKind tells apart the slots of the weight store.
type SlotKind uint32

// Kinds of slots.
const (
	LoadSlot SlotKind = iota
	AdapterSlot
	slotKinds
)

// Numbers of slots: the weight store serves 4 model loads at once at full
// speed, and 32 adapter loads.
const (
	loadSlots    = 4
	adapterSlots = 32
)

func (s SlotKind) count() uint32 {
	if s == AdapterSlot {
		return adapterSlots
	}
	return loadSlots
}
