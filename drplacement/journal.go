package drplacement

import (
	"context"
	"time"
)

// Journal appends to the placement stream and reports how far this VM has read
// it.
type Journal interface {
	// Append adds one record and returns its offset. After an error with
	// verdict MayHaveRun the record may be in the stream now or appear later.
	Append(ctx context.Context, entry []byte) (offset uint64, err error)
	// WaitFor returns once the ledger has applied the record at offset.
	WaitFor(ctx context.Context, offset uint64) error
	// Confirmed returns the local time at which the newest complete read began:
	// one that reached the head of the stream and whose records were all
	// applied to the ledger.
	Confirmed() time.Time
}
