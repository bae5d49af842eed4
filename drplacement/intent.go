package drplacement

// Intent is an order to an engine that ignores fencing, which may still be on
// its way.
type Intent struct {
	// Offset identifies the intent.
	Offset uint64
	// VM and Incarnation name the process that may send the order under
	// Fence.
	VM          string
	Incarnation uint64
	Fence       uint64
	Replica     string
	Model       string
	Adapter     string
	Bytes       int64
	Unload      bool
}
