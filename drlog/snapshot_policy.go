package drlog

import "time"

// snapshotPolicy decides when a snapshot is due.
type snapshotPolicy struct {
	coveredOffset uint64    // last offset covered by a snapshot in the log
	writtenAt     time.Time // when that snapshot was completed
	pending       []pendingEntry
}

type pendingEntry struct {
	offset uint64
	time   time.Time
}

func (p *snapshotPolicy) addEntry(offset uint64, at time.Time) {
	p.pending = append(p.pending, pendingEntry{offset, at})
}

func (p *snapshotPolicy) markCovered(offset uint64, at time.Time) {
	if offset < p.coveredOffset {
		return
	}
	p.coveredOffset, p.writtenAt = offset, at
	for len(p.pending) > 0 && p.pending[0].offset <= offset {
		p.pending = p.pending[1:]
	}
}

// resetAfterRestore starts over from a state whose snapshot in the log has an unknown
// age. It is taken for a quarter of the retention, which keeps the next one in
// time.
func (p *snapshotPolicy) resetAfterRestore(now time.Time, retention time.Duration) {
	p.writtenAt = now.Add(-retention / coverDivisor)
}

// isDue reports whether a snapshot should be written now.
func (p *snapshotPolicy) isDue(now time.Time, retention time.Duration, maxPending int) bool {
	if len(p.pending) >= maxPending {
		return true
	}
	if len(p.pending) > 0 && now.Sub(p.pending[0].time) > retention/coverDivisor {
		return true
	}
	return !p.writtenAt.IsZero() && now.Sub(p.writtenAt) > retention/repeatDivisor
}
