package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// journal appends to the stream that a follower reads.
type journal struct {
	log      drlog.Appender
	follower *drlog.Follower
}

// Append adds one record and has the follower read at once.
func (j journal) Append(ctx context.Context, entry []byte) (uint64, error) {
	offset, err := drlog.AppendEntry(ctx, j.log, j.follower.Stream(), entry)
	j.follower.Wake()
	return offset, err
}

// WaitFor waits until the record at offset is folded.
func (j journal) WaitFor(ctx context.Context, offset uint64) error {
	return j.follower.WaitFor(ctx, offset)
}

// Confirmed returns when the head of the stream was last confirmed.
func (j journal) Confirmed() time.Time { return j.follower.Confirmed() }
