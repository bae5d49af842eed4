package drqueue

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Item is a request that waits in a queue.
type Item struct {
	// RequestID is the request id in recorded events.
	RequestID string
	Account   string
	// KeyID is the id of the API key of the request, by which RemoveIf can
	// select items.
	KeyID string
	// Weight is the share of the account under contention in relation to other
	// accounts. Values below 1 count as 1.
	Weight int
	// Priority is the class of the item. Enqueue takes an empty one for
	// Interactive.
	Priority drconfig.Priority
	// Cost is the expected service in tokens.
	Cost float64
	// Bytes is the memory that the request takes while it waits.
	Bytes int64
	// Deadline is the time by which the item must be granted; zero means none.
	Deadline time.Time
}

// weight returns the share of the item's flow in relation to other flows: the
// weight of the account times that of the priority.
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
