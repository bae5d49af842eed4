package drgateway

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Item is a request that waits for its turn.
type Item struct {
	RequestID string
	Account   string
	Model     string
	Adapter   string
	Priority  drconfig.Priority
	// Tokens is the expected cost, Bytes the memory that the request holds.
	Tokens   float64
	Bytes    int
	Deadline time.Time
}

// Queue orders the requests for each model.
type Queue interface {
	// Enqueue waits until it is the item's turn. The gate calls release once,
	// with the tokens served. Errors carry NotRun and QueueFull or Deadline.
	Enqueue(ctx context.Context, i Item) (release func(served float64), err error)
}
