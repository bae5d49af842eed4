package drplacement

import "time"

// ModelSpec is what placement needs to know about a model.
type ModelSpec struct {
	Name  string
	Fleet string
	// Bytes is the memory that one replica takes.
	Bytes int64
	// Min is the number of rights that are granted in advance, Max the number
	// that may be granted on demand.
	Min, Max int
	// IdleTimeout is how long a replica stays loaded without use. At 0
	// defaultIdleTimeout applies, and values below idleHysteresis are raised to
	// it.
	IdleTimeout time.Duration
}
