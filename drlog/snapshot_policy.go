package drlog

import "time"

// snapshotPolicy decides when a snapshot is due, from the entries that no snapshot
// in the log covers and the age of the last snapshot.
type snapshotPolicy struct {
	coveredOffset uint64         // last offset covered by a snapshot in the log
	writtenAt     time.Time      // when that snapshot was completed; zero if none
	pending       []pendingEntry // not covered yet, oldest first
}

type pendingEntry struct {
	offset uint64
	time   time.Time
}

// addEntry takes note of an applied entry that no snapshot covers yet.
func (p *snapshotPolicy) addEntry(offset uint64, at time.Time) {
	p.pending = append(p.pending, pendingEntry{offset, at})
}

// markCovered takes note of a snapshot in the log that covers entries up to offset.
// Snapshots older than the last one are ignored.
func (p *snapshotPolicy) markCovered(offset uint64, at time.Time) {
	if offset < p.coveredOffset {
		return
	}
	p.coveredOffset, p.writtenAt = offset, at
	for len(p.pending) > 0 && p.pending[0].offset <= offset {
		p.pending = p.pending[1:]
	}
}

// resetAfterRestore sets the time of the last snapshot after a state was restored.
// The age of its snapshot in the log is unknown. It is assumed to be a quarter of the
// retention, so that the next snapshot is written in time.
func (p *snapshotPolicy) resetAfterRestore(now time.Time, retention time.Duration) {
	p.writtenAt = now.Add(-retention / coverDivisor)
}

// isDue reports whether a snapshot should be written now. It is due after maxPending
// entries; see coverDivisor and repeatDivisor for the other reasons.
func (p *snapshotPolicy) isDue(now time.Time, retention time.Duration, maxPending int) bool {
	if len(p.pending) >= maxPending {
		return true
	}
	if len(p.pending) > 0 && now.Sub(p.pending[0].time) > retention/coverDivisor {
		return true
	}
	return !p.writtenAt.IsZero() && now.Sub(p.writtenAt) > retention/repeatDivisor
}
