package drlog

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// pollWait is how long the log holds a poll open. The age of a
	// confirmation reaches twice this time, plus freshnessCycle when it comes
	// through a peer; the sum has to stay below FreshBound.
	pollWait = time.Second

	// readTimeout bounds a read beyond its wait. With half of FreshBound, a log
	// that answers just in time still confirms often enough.
	readTimeout = FreshBound / 2

	// slowReadThreshold is the delay beyond the wait after which polls are not held
	// open, so that the delay is the only age of a confirmation.
	slowReadThreshold = 500 * time.Millisecond

	// retryInterval is the time between the starts of two reads while the log
	// cannot be read.
	retryInterval = time.Second

	// peerTimeout bounds one question to peers.
	peerTimeout = time.Second

	// stateTransferTimeout bounds the transfer of a state from a peer.
	stateTransferTimeout = 5 * time.Second

	maxPageRecords = 1000

	defaultRetention     = time.Hour
	defaultSnapshotEvery = 1000

	// snapshotCheckInterval is how often the need for a snapshot is examined, and the
	// least time between two attempts.
	snapshotCheckInterval = 5 * time.Second

	// partSize is the payload of one snapshot part in bytes.
	partSize = 256 << 10

	// Shares of the retention: a record is covered by a snapshot at a quarter,
	// and the snapshot is repeated at half, because in a quiet stream the last
	// one would otherwise be removed.
	coverDivisor  = 4
	repeatDivisor = 2
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Log    Log
	Stream string
	Folder Folder
	Clock  drclock.Clock
	// Peers is asked while the log cannot be read; nil for none.
	Peers Relay
	// Retention is the time for which the log retains records.
	Retention time.Duration
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int
	// Pause, if not nil, returns how long to wait between two reads once the
	// state is up to date; 0 keeps a read open all the time. Poke ends a pause.
	Pause func() time.Duration
	// IsSnapshotter tells whether this VM writes the snapshots; nil for never.
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
