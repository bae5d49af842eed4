package drplacement

// Location is a runner on which a model is loaded.
type Location struct {
	Runner  string
	Address string
	// Fence is the fencing token under which the owner keeps the runner.
	Fence uint64
}
