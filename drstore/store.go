// Package drstore defines the interface to the platform's store: an
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

// The topics of the store. Deployments and Runners are keyed; the operator
// writes the former and the runners write the latter.
const (
	Deployments Topic = iota // deployments
	Runners                  // runners
	Leases                   // leases
)

// Errors of a Log. Any other error means that the outcome of an append is
// unknown: it may have been or may still be carried out.
var (
	// ErrConflict means that the topic did not end at the expected offset, for
	// example because a record has been appended in the meantime.
	ErrConflict = errors.New("the topic does not end at the expected offset")
	// ErrRefused means that the store rejected the call and changed nothing.
	ErrRefused = errors.New("the store refused the call and changed nothing")
)

// ExpiredError means that the store no longer keeps the records that a read
// asked for.
type ExpiredError struct {
	First int64 // the oldest offset that is kept
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the records before offset %d have expired", e.First)
}

// Record is one entry of a topic.
type Record struct {
	Offset int64
	Key    string // "" in topics without keys
	Value  []byte // empty in keyed topics if the key was deleted
}

// NewestPageRecords is how many records one page of Log.Newest has at most.
const NewestPageRecords = 500

// MaxPageKB is the size of the largest page of Log.Read in units of 1,024 bytes.
const MaxPageKB = 1024

// Page is the result of one read.
type Page struct {
	Records []Record
	Next    int64 // offset to read from next
	End     int64 // end of the topic
	// Era is that of the store. It rises each time that the store has lost its newest
	// records, after which offsets are given out again.
	Era uint64
	// After is the key after which a read of the newest records goes on, "" if it is
	// complete.
	After string
}

// Log reads and appends records. The offsets of a topic start at 0 and have no
// gaps.
type Log interface {
	// Newest returns the newest records of the first keys after one, in the order of the
	// keys. The pages are no snapshot: Page.Next of the first one is the offset from which
	// to continue with Read, and records of all pages may be newer.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
	// Read returns the records from an offset on, as many as maxKB times 1,024 bytes hold. If
	// there are none yet, it waits up to the given time for the first one.
	Read(ctx context.Context, topic Topic, from int64, maxKB int, wait time.Duration) (Page, error)
	// Append adds a record if the topic ends at a position, and returns ErrConflict
	// otherwise. If the store is in another era it may have added the record, too.
	Append(ctx context.Context, topic Topic, value []byte, at Position) error
}

// Codec decodes the records that the operator and the runners write.
type Codec interface {
	// Deployment decodes one version of the configuration.
	Deployment(value []byte) (*drfleet.Deployment, error)
	// OutOfService returns the availability zone that a record of the deployments
	// topic concerns by its key, and false if it concerns none. The zone is out of
	// service while the record exists.
	OutOfService(key string) (zone string, ok bool)
	// Runner decodes the entry that the runner with this id wrote about
	// itself.
	Runner(id string, value []byte) (*drfleet.Runner, error)
}
