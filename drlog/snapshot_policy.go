package drlog

import "time"

// snapshotPolicy decides when a snapshot is due.
type snapshotPolicy struct {
	covers  uint64    // last offset covered by a snapshot in the log
	written time.Time // when that snapshot was completed
	pending []pendingEntry
}

type pendingEntry struct {
	offset uint64
	time   time.Time
}

func (p *snapshotPolicy) uncovered(offset uint64, at time.Time) {
	p.pending = append(p.pending, pendingEntry{offset, at})
}

func (p *snapshotPolicy) covered(covers uint64, at time.Time) {
	if covers < p.covers {
		return
	}
	p.covers, p.written = covers, at
	for len(p.pending) > 0 && p.pending[0].offset <= covers {
		p.pending = p.pending[1:]
	}
}

// restored starts over from a state whose snapshot in the log has an unknown
// age. It is taken for a quarter of the retention, which keeps the next one in
// time.
func (p *snapshotPolicy) restored(now time.Time, retention time.Duration) {
	p.written = now.Add(-retention / coverShare)
}

// due reports whether a snapshot should be written now.
func (p *snapshotPolicy) due(now time.Time, retention time.Duration, every int) bool {
	if len(p.pending) >= every {
		return true
	}
	if len(p.pending) > 0 && now.Sub(p.pending[0].time) > retention/coverShare {
		return true
	}
	return !p.written.IsZero() && now.Sub(p.written) > retention/repeatShare
}
