// Package drlog is the client of the platform's append-only log: appending,
// following a stream, snapshots kept in the stream, and relay through peers
// while the log cannot be read.
package drlog

import (
	"context"
	"time"
)

// Stream names. Each stream has its own offsets.
const (
	StreamConfig    = "config"
	StreamPlacement = "placement"
	StreamShares    = "shares"
	StreamSuspects  = "suspects"
	// StreamOncePrefix is followed by the partition number.
	StreamOncePrefix = "once-"
)

// Record is one entry of a stream.
type Record struct {
	// Offset is the position in the stream, starting at 1.
	Offset uint64 `json:"offset"`
	// Time is the log's own time of the append.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	Records []Record `json:"records"`
	// First is the lowest retained offset, Next the offset that the next
	// append will get.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// Appender appends to the log.
type Appender interface {
	// Append adds one record and returns its offset. After an error with
	// verdict drerror.MayHaveRun the record may be in the stream now, or
	// appear later; the caller resolves this by reading the stream.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// Reader reads the log.
type Reader interface {
	// Read returns up to limit records from offset from, waiting up to wait
	// for the first one. A from below the first retained offset gives a
	// *GapError.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Log appends and reads.
type Log interface {
	Appender
	Reader
}

// Folder holds the state that a stream's records produce. Apply must be
// deterministic, because every VM folds the same records on its own.
type Folder interface {
	// Apply folds one record. Records come in order of offset, each once.
	Apply(r Record)
	// Snapshot returns the encoded state as of the last applied record. It may
	// run at the same time as readers of the state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot that covers offset. On an error it
	// keeps the state.
	Restore(offset uint64, snapshot []byte) error
}
