package drplacement

import (
	"context"
	"time"
)

// Journal appends to the placement stream and tells how far it was read.
type Journal interface {
	// Append adds one record. After an error with verdict MayHaveRun the
	// record may be in the stream now or appear later.
	Append(ctx context.Context, entry []byte) (offset uint64, err error)
	// WaitFor waits until the ledger has applied offset.
	WaitFor(ctx context.Context, offset uint64) error
	// Confirmed returns the local time at which the newest read began that
	// reached the head of the stream and was applied to the ledger.
	Confirmed() time.Time
}
