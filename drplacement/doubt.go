package drplacement

import "time"

// unresolvedOrder is an order whose answer was lost and which may still take effect.
type unresolvedOrder struct {
	model         string
	bytes         int64 // 0 for an unload
	possibleUntil time.Time
}
