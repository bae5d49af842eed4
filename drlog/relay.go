package drlog

import (
	"context"
	"time"
)

// Relay reads a stream through peers. Errors mean that no peer answered.
type Relay interface {
	// FetchRecords returns records from an offset on. A peer that no longer
	// holds them gives a *GapError.
	FetchRecords(ctx context.Context, stream string, from uint64) (RelayedPage, error)
	// FetchState returns a state that covers more than offset above.
	FetchState(ctx context.Context, stream string, above uint64) (RelayedState, error)
}

// RelayedPage is a Page from a peer.
type RelayedPage struct {
	Page
	// Confirmed is the local time at or before which the peer confirmed, with
	// the log, that no record from Next on existed. It is zero if unknown.
	Confirmed time.Time
}

// RelayedState is a Folder's state from a peer, verified by its hash.
type RelayedState struct {
	Offset   uint64 // last covered
	Snapshot []byte
}
