package drplacement

// Intent announces an order to an engine that does not check fencing tokens. As
// long as the intent is in the ledger, the order may still arrive.
type Intent struct {
	// Offset is the log offset of the intent record and identifies the intent.
	Offset uint64
	// VM and Incarnation identify the process that may send the order, Fence is
	// the fencing token that it uses.
	VM          string
	Incarnation uint64
	Fence       uint64
	Replica     string
	Model       string
	Adapter     string
	Bytes       int64
	Unload      bool
}
