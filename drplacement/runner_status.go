package drplacement

import "time"

// RunnerStatus is the newest report on a runner with a loaded replica.
type RunnerStatus struct {
	Runner  string
	Address string
	Zone    string
	Fence   uint64
	// Instance changes when the engine process restarts.
	Instance string
	// Version grows with each report.
	Version uint64
	// Capacity, Running and Waiting are the engine's own report.
	Capacity, Running, Waiting int
	// At is the local time at which the report arrived.
	At time.Time
}
