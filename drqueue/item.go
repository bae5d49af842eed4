package drqueue

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Item is a request in the queue.
type Item struct {
	// RequestID appears in events.
	RequestID string
	Account   string
	// KeyID is the id of the key that the request carries, for RemoveIf.
	KeyID string
	// Weight of the account under contention; 1 if not positive.
	Weight   int
	Priority drconfig.Priority
	// Cost is the expected service in tokens.
	Cost float64
	// Bytes is the memory that the request takes while it waits.
	Bytes int64
	// Deadline by which the item must be granted; zero means none.
	Deadline time.Time
}

func (i Item) weight() float64 {
	w := float64(max(1, i.Weight))
	switch i.Priority {
	case drconfig.Batch:
		return w * batchWeight
	case drconfig.Draft:
		return w * draftWeight
	default:
		return w * interactiveWeight
	}
}
