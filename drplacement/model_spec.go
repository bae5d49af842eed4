package drplacement

import "time"

// ModelSpec is a model as far as placement is concerned.
type ModelSpec struct {
	Name  string
	Fleet string
	// Bytes is the memory that one replica takes.
	Bytes int64
	// Min rights are granted at once, up to Max on demand.
	Min, Max int
	// IdleTimeout unloads a model that had no request for so long; 0 means
	// defaultIdleTimeout.
	IdleTimeout time.Duration
}
