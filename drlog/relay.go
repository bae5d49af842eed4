package drlog

import (
	"context"
	"time"
)

// Relay reads a stream through peer VMs. Unless noted otherwise, an error means that
// no peer gave a usable answer.
type Relay interface {
	// FetchRecords returns records, starting at offset from. If the peers no
	// longer hold them in memory, the error is a *GapError.
	FetchRecords(ctx context.Context, stream string, from uint64) (RelayedPage, error)
	// FetchState returns a state that includes records beyond offset above.
	FetchState(ctx context.Context, stream string, above uint64) (RelayedState, error)
}

// RelayedPage is a Page from a peer, with the time at which it was up to date.
type RelayedPage struct {
	Page
	// Confirmed is a local time at which the log held no record at or above
	// Next, as a peer learned by reading the log. It is zero if unknown.
	Confirmed time.Time
}

// RelayedState is a Folder's state from a peer, verified by its hash.
type RelayedState struct {
	Offset   uint64 // last record that the state includes
	Snapshot []byte
}
