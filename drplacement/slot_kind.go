package drplacement

// SlotKind tells slots for model loads from slots for adapter loads.
type SlotKind uint32

// Kinds of slots. The values are part of the records of the placement stream.
const (
	LoadSlot SlotKind = iota
	AdapterSlot
	slotKinds // number of kinds
)

// Numbers of slots: the weight store serves 4 model loads at once at full
// speed, and 32 adapter loads.
const (
	loadSlots    = 4
	adapterSlots = 32
)

// count returns the number of slots of the kind.
func (s SlotKind) count() uint32 {
	if s == AdapterSlot {
		return adapterSlots
	}
	return loadSlots
}
