package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// journal appends records to a stream of the log and has the stream's follower on
// this VM read them back.
type journal struct {
	log      drlog.Appender
	follower *drlog.Follower
}

// Append adds one record and returns its offset. It wakes the follower if that is
// waiting before its next read.
func (j journal) Append(ctx context.Context, entry []byte) (uint64, error) {
	offset, err := drlog.AppendEntry(ctx, j.log, j.follower.Stream(), entry)
	j.follower.Wake()
	return offset, err
}

// WaitFor waits until the follower has applied the record at offset.
func (j journal) WaitFor(ctx context.Context, offset uint64) error {
	return j.follower.WaitFor(ctx, offset)
}

// Confirmed returns the last local time at which the follower had certainly read the
// whole stream, and zero if there was none.
func (j journal) Confirmed() time.Time { return j.follower.Confirmed() }
