// Package drserve runs one entry VM. It creates its subsystems from the settings,
// connects them, and starts, drains and stops them.
package drserve

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drqueue"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drsettings"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

const (
	// queueRefreshPeriod is how often the dispatch windows of the queues are
	// updated from the load that engines report.
	queueRefreshPeriod = 100 * time.Millisecond
	// nonHomeReadPause is the time between two reads of a stream of calls with
	// an Idempotency-Key on VMs that are neither among its homes nor write its
	// snapshots; see keyedStreamPause. If all VMs used long polls, those of the
	// 8 such streams would be two thirds of all reads of the log, and each
	// append would wake every VM.
	nonHomeReadPause = 10 * time.Second
	// peerQueryTimeout limits queries to other entry VMs: for their
	// configuration offset, their events, or another replica.
	peerQueryTimeout = 2 * time.Second
	// submitPollPeriod is how often Submit checks whether a configuration
	// change has been applied.
	submitPollPeriod = 20 * time.Millisecond
	// recordsPerSnapshot is the number of records after which a new snapshot of
	// a stream is written.
	recordsPerSnapshot = 1000
)

// Policies selects the algorithms of an entry VM. The zero value selects those of
// the product; the others are baselines that measurements compare it with.
type Policies struct {
	Place drplacement.Policy
	Limit drtokenshare.Policy
	Queue drqueue.Policy
	Route drrouter.Policy
}

// Config configures a VM. Settings, Clock and Incarnation are required.
type Config struct {
	Settings drsettings.Settings
	Clock    drclock.Clock
	Version  string
	// Incarnation must be larger than that of earlier processes on the same VM,
	// such as the start time in nanoseconds.
	Incarnation uint64
	Policies    Policies
	// Block, if not nil, is used by tests to inject network faults: while it
	// returns true, nothing is sent to that VM.
	Block func(vm string) bool
}
