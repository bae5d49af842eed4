package drplacement

import "time"

// doubt is an order whose answer was lost and which may still take effect.
type doubt struct {
	model string
	bytes int64 // 0 for an unload
	until time.Time
}
