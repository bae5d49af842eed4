package drgateway

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Item is a request that waits in a queue.
type Item struct {
	RequestID string
	Account   string
	Model     string
	Adapter   string
	Priority  drconfig.Priority
	// Tokens is the estimated prompt plus the longest possible output, Bytes
	// the size of the prompt in memory.
	Tokens   float64
	Bytes    int
	Deadline time.Time
}

// Queue decides in which order the requests for a model are dispatched. It must be
// safe for concurrent use.
type Queue interface {
	// Enqueue waits until the item may be dispatched. The server calls release
	// once when the request ends, with the tokens that it used. Errors have the
	// verdict NotRun and the reason QueueFull or Deadline.
	Enqueue(ctx context.Context, item Item) (release func(served float64), err error)
}
