package drplacement

// Slot is one slot of the weight store and its holder, who lends it.
type Slot struct {
	Kind        SlotKind
	Number      uint32
	VM          string
	Incarnation uint64
	// Offset identifies this holding.
	Offset uint64
	// Clean says that nobody held the slot before, so that no loan of an
	// earlier holder can be running.
	Clean bool
}
