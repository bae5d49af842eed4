package drplacement

import "time"

// unresolvedOrder is an order whose answer was lost. It may have taken effect
// or may do so until possibleUntil.
type unresolvedOrder struct {
	model         string
	bytes         int64 // memory that the order may take; 0 for an unload
	possibleUntil time.Time
}
