// Package drserve runs one entry VM: it wires the packages together from the
// settings, and starts, drains and stops them.
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
	// queueRefreshPeriod is how often queue windows follow the engines' reports.
	queueRefreshPeriod = 100 * time.Millisecond
	// nonHomeReadPause is the time between two reads of the streams of keyed calls on
	// VMs that are not their homes. Held polls of 8 streams would be two thirds
	// of all reads of the log, and each append would wake every VM.
	nonHomeReadPause = 10 * time.Second
	// peerQueryTimeout bounds the question to one VM about its configuration.
	peerQueryTimeout = 2 * time.Second
	// submitPollPeriod is how often the result of a change is looked for.
	submitPollPeriod = 20 * time.Millisecond
	// recordsPerSnapshot is the number of records between snapshots of a stream.
	recordsPerSnapshot = 1000
)

// Policies selects baselines for comparison measurements. The zero value is
// the product's behaviour.
type Policies struct {
	Place drplacement.Policy
	Limit drtokenshare.Policy
	Queue drqueue.Policy
	Route drrouter.Policy
}

// Config configures a VM.
type Config struct {
	Settings drsettings.Settings
	Clock    drclock.Clock
	Version  string
	// Incarnation grows with each process on the same VM; the start time in
	// nanoseconds serves.
	Incarnation uint64
	Policies    Policies
	// Block, if not nil, cuts the direction to another VM while it returns
	// true. Tests use it to inject network faults.
	Block func(vm string) bool
}
