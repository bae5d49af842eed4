// Package drlog is the client of the platform's append-only log. It appends
// records, follows a stream, writes snapshots of the resulting state into the
// stream, and reads through peer VMs while the log cannot be reached. All VMs
// apply the same records in the same order, so they arrive at the same state.
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

// Record is one record of a stream. For a Folder, Data is the entry; in a Page it is
// the encoded envelope around an entry or a part of a snapshot.
type Record struct {
	// Offset is the position in the stream, starting at 1.
	Offset uint64 `json:"offset"`
	// Time is when the log appended the record, by the log's clock.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the result of one read: consecutive records, possibly none.
type Page struct {
	Records []Record `json:"records"`
	// First is the lowest retained offset, Next the offset that the next
	// append will get.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// Appender appends records to the log. Implementations must be safe for concurrent
// use.
type Appender interface {
	// Append adds one record and returns its offset. After an error with
	// verdict drerror.MayHaveRun the record may be in the stream now, or
	// appear later; the caller resolves this by reading the stream.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// Reader reads records from the log. Implementations must be safe for concurrent
// use.
type Reader interface {
	// Read returns up to limit records, starting at offset from. If there are
	// none yet, it waits for the first one, but no longer than wait. If from is
	// below the first retained offset, the error is a *GapError.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Log is a client of the log that can both append and read.
type Log interface {
	Appender
	Reader
}

// Folder is a replicated state machine: it holds the state that results from
// applying ("folding") a stream's records. Apply must be deterministic, because
// every VM applies the same records on its own and all must get the same state.
// The Follower never calls Apply and Restore at the same time.
type Folder interface {
	// Apply applies one record to the state. Records come in order of offset,
	// each once.
	Apply(r Record)
	// Snapshot returns the encoded state as of the last applied record. It may
	// be called while other goroutines read the state.
	Snapshot() []byte
	// Restore replaces the state with a snapshot that includes all records up to
	// offset. On an error it leaves the state unchanged.
	Restore(offset uint64, snapshot []byte) error
}
