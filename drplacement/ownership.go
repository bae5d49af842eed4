package drplacement

// Ownership says which VM may send orders to a runner.
type Ownership struct {
	// VM is empty if nobody owns the runner.
	VM          string
	Incarnation uint64
	// Fence is the offset of the newest accepted own record.
	Fence uint64
	// Clean says that no order of earlier owners can be on its way, because
	// each gave the runner up after the one before it had done so.
	Clean bool
}
