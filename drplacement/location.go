package drplacement

// Location tells where a model is loaded.
type Location struct {
	Runner  string
	Address string
	// Fence is the fencing token under which the runner is owned.
	Fence uint64
}
