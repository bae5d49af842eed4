package drtokenshare

import (
	"math"
	"slices"
	"time"
)

// maxPeaks bounds the memory of a bucket's history. Tokens that were used before
// the oldest kept peak are not refunded.
const maxPeaks = 4096

// peaks finds the highest level of a bucket since a given time. It keeps only the
// levels that no later level has reached, because no other can be the highest.
type peaks struct {
	list []peak // times ascending, levels descending
	// knownSince is the time of the last peak that was dropped for its age or
	// because of maxPeaks.
	knownSince time.Time
}

type peak struct {
	at    time.Time
	level float64
}

// record adds the level at a time that is not before the last recorded one. The
// level between two records must not be above that of the later one.
func (p *peaks) record(at time.Time, level float64) {
	for n := len(p.list); n > 0 && p.list[n-1].level <= level; n-- {
		p.list = p.list[:n-1]
	}
	p.list = append(p.list, peak{at, level})
	old := at.Add(-refundLifetime)
	n := 0
	for p.list[n].at.Before(old) || len(p.list)-n > maxPeaks {
		p.knownSince = p.list[n].at
		n++
	}
	p.list = p.list[n:]
}

// maxSince returns the highest level recorded after a time, 0 if there is none. It
// is infinite if peaks of that time have been dropped.
func (p *peaks) maxSince(from time.Time) float64 {
	if from.Before(p.knownSince) {
		return math.Inf(1)
	}
	if i := p.firstAfter(from); i < len(p.list) {
		return p.list[i].level
	}
	return 0
}

// raiseSince adds tokens to all levels recorded after a time, as if the bucket had
// held them since then.
func (p *peaks) raiseSince(from time.Time, added float64) {
	first := p.firstAfter(from)
	if first == len(p.list) {
		return
	}
	for i := range p.list[first:] {
		p.list[first+i].level += added
	}
	n := first
	for n > 0 && p.list[n-1].level <= p.list[first].level {
		n--
	}
	p.list = slices.Delete(p.list, n, first)
}

// firstAfter returns the index of the first peak after a time, or the number of
// peaks if there is none.
func (p *peaks) firstAfter(from time.Time) int {
	i, _ := slices.BinarySearchFunc(p.list, from, func(e peak, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	return i
}
