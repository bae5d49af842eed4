package drplacement

// Ownership tells which VM may send orders to a runner.
type Ownership struct {
	// VM is empty if the runner has no owner. Incarnation identifies the
	// process on the VM.
	VM          string
	Incarnation uint64
	// Fence is the fencing token: the offset of the newest accepted own record.
	Fence uint64
	// Clean is set if no order of earlier owners can be on its way, because
	// each of them gave the runner up after the one before it had done so.
	Clean bool
}
