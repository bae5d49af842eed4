package drplacement

// Slot is a slot of the weight store together with its holder, the VM that
// lends it to loads.
type Slot struct {
	Kind        SlotKind
	Number      uint32
	VM          string
	Incarnation uint64
	// Offset is the offset of the slot record by which the holder claimed the
	// slot.
	Offset uint64
	// Clean is set if no VM held the slot before, so that no loan of an earlier
	// holder can be running.
	Clean bool
}
