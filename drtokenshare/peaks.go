package drtokenshare

import (
	"math"
	"slices"
	"time"
)

// maxPeaks bounds the memory of a bucket's history. Loans from before the
// oldest kept peak are not refunded.
const maxPeaks = 4096

// peaks answers how high the level of a bucket has been since a given time.
// It keeps the levels that no later level has reached.
type peaks struct {
	list []peak // times ascending, levels descending
	// from is the time before which nothing is known.
	from time.Time
}

type peak struct {
	at    time.Time
	level float64
}

// note records the level at a time that is not before the last one. Between
// two records the level is not above the later one.
func (p *peaks) note(at time.Time, level float64) {
	for n := len(p.list); n > 0 && p.list[n-1].level <= level; n-- {
		p.list = p.list[:n-1]
	}
	p.list = append(p.list, peak{at, level})
	old := at.Add(-refundLifetime)
	n := 0
	for p.list[n].at.Before(old) || len(p.list)-n > maxPeaks {
		p.from = p.list[n].at
		n++
	}
	p.list = p.list[n:]
}

// since returns the highest level recorded after a time.
func (p *peaks) since(from time.Time) float64 {
	if from.Before(p.from) {
		return math.Inf(1)
	}
	if i := p.after(from); i < len(p.list) {
		return p.list[i].level
	}
	return 0
}

// raise adds v to the levels recorded after a time, as if it had been there.
func (p *peaks) raise(from time.Time, v float64) {
	first := p.after(from)
	if first == len(p.list) {
		return
	}
	for i := range p.list[first:] {
		p.list[first+i].level += v
	}
	n := first
	for n > 0 && p.list[n-1].level <= p.list[first].level {
		n--
	}
	p.list = slices.Delete(p.list, n, first)
}

func (p *peaks) after(from time.Time) int {
	i, _ := slices.BinarySearchFunc(p.list, from, func(e peak, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	return i
}
