// Package drstore defines what the system needs of the platform's store: an
// append-only log with conditional appends, and topics that keep the newest
// record of each key.
package drstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

//go:generate stringer -type=Topic -linecomment

// Topic is a log of records in the store.
type Topic int

// Topics. Deployments and Runners are keyed and written by others.
const (
	Deployments Topic = iota // deployments
	Runners                  // runners
	Leases                   // leases
)

// Errors of a Log. Any other error means that the outcome of an append is
// unknown: it may have been or may still be carried out.
var (
	// ErrConflict means that the topic did not end at the expected offset.
	ErrConflict = errors.New("the topic has grown")
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("the store refused the call")
)

// ExpiredError means that the records asked for are no longer kept.
type ExpiredError struct {
	First int64 // the oldest offset that is kept
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the records before offset %d have expired", e.First)
}

// Record is one record of a topic.
type Record struct {
	Offset int64
	Key    string // "" in topics without keys
	Value  []byte // empty in keyed topics if the key was dropped
}

// Page is what a read returned.
type Page struct {
	Records []Record
	Next    int64 // offset to read from next
	End     int64 // end of the topic
}

// Log reads and appends records. Offsets start at 0 and have no gaps.
type Log interface {
	// Newest returns the newest record of each key and the offset to read on
	// from. Records may be newer than that offset.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Read returns the records from an offset on. If there are none, it waits
	// for the first one, but not longer than wait.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error)
	// Append adds a record if the topic ends at offset at.
	Append(ctx context.Context, topic Topic, value []byte, expectedEnd int64) error
}

// Codec decodes the values of records that others write.
type Codec interface {
	// Deployment decodes a version of the configuration.
	Deployment(value []byte) (*drfleet.Deployment, error)
	// Runner decodes a runner's description of itself.
	Runner(id string, value []byte) (*drfleet.Runner, error)
}
