package drlog

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// pollWait is how long the log holds a poll open when there are no new
	// records. A confirmation can be up to 2*pollWait old, plus
	// evaluateInterval if it comes through a peer; the sum must stay below
	// FreshBound.
	pollWait = time.Second

	// readTimeout limits how much longer than its wait a read may take. At half
	// of FreshBound, a log that answers just before the timeout still confirms
	// often enough for the VM to stay fresh.
	readTimeout = FreshBound / 2

	// slowReadThreshold is how much longer than its wait a read may take before
	// the following polls ask for an immediate answer. The age of a
	// confirmation is then only the log's delay, without pollWait on top.
	slowReadThreshold = 500 * time.Millisecond

	// retryInterval is the time between the starts of two reads while the log
	// cannot be read.
	retryInterval = time.Second

	// peerTimeout limits one round of fetching records from peers.
	peerTimeout = time.Second

	// stateTransferTimeout limits the transfer of a whole state from a peer.
	stateTransferTimeout = 5 * time.Second

	// maxPageRecords limits the records returned by one read from the log.
	maxPageRecords = 1000

	defaultRetention     = time.Hour
	defaultSnapshotEvery = 1000

	// snapshotCheckInterval is how often the Follower checks whether a snapshot is
	// due. It is also the least time between two attempts to write one.
	snapshotCheckInterval = 5 * time.Second

	// partSize is the most bytes of snapshot data that one part carries.
	partSize = 256 << 10

	// coverDivisor and repeatDivisor divide the retention. A snapshot is due when
	// the oldest record without one is a quarter of the retention old, or when
	// the last snapshot is half of the retention old. Without the latter, the log
	// would remove the only snapshot of a stream that gets no records.
	coverDivisor  = 4
	repeatDivisor = 2
)

// FollowerConfig configures a Follower. Log, Stream and Folder are required.
type FollowerConfig struct {
	Log    Log
	Stream string
	Folder Folder
	Clock  drclock.Clock
	// Peers is read while the log cannot be read; nil disables this.
	Peers Relay
	// Retention is how long the log retains records; 0 means 1 h.
	Retention time.Duration
	// SnapshotEvery is the number of records since the last snapshot at which
	// the next one is due; 0 means 1000.
	SnapshotEvery int
	// Pause, if not nil, returns how long to wait before the next read once the
	// Follower has caught up; 0 means to always keep a read open. Wake ends a
	// pause early.
	Pause func() time.Duration
	// IsSnapshotter reports whether this VM writes the stream's snapshots; nil
	// means never. It is called before each check.
	IsSnapshotter func() bool
	Events        drtimeline.Recorder
}

func (c FollowerConfig) withDefaults() FollowerConfig {
	if c.Clock == nil {
		c.Clock = drclock.System{}
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.Pause == nil {
		c.Pause = func() time.Duration { return 0 }
	}
	if c.IsSnapshotter == nil {
		c.IsSnapshotter = func() bool { return false }
	}
	if c.Events == nil {
		c.Events = drtimeline.Discard{}
	}
	return c
}
