package drplacement

import "time"

// RunnerStatus is the newest known status of a runner on which the model in
// question is loaded.
type RunnerStatus struct {
	Runner  string
	Address string
	Zone    string
	Fence   uint64
	// Instance changes when the engine process restarts.
	Instance string
	// Version grows with each status of the runner. It is 0 if the replica is
	// known only from a Wake call.
	Version uint64
	// Capacity, Running and Waiting are numbers of generations as reported by
	// the engine.
	Capacity, Running, Waiting int
	// At is the local time at which the status arrived or was last confirmed as
	// unchanged.
	At time.Time
}
