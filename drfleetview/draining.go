package drfleetview

import (
	"slices"
	"time"
)

const (
	// drainingNewsTime is how long the beginning of a drain is news.
	drainingNewsTime = 3 * time.Second
	// maxDrainingNews is how many such news there are at most.
	maxDrainingNews = 32
)

// drainBegin is an entry whose runner has begun to drain.
type drainBegin struct {
	entry   *entry
	started int64         // of the incarnation
	at      time.Duration // uptime
}

// noteDraining records that the runner of an entry drains, unless it did before. The caller
// holds mu.
func (v *View) noteDraining(e *entry) {
	i := IncarnationOf(e.runner)
	if !e.runner.Draining || e.removed || i.is(e.drains) {
		return
	}
	e.drains, v.drainRevision = &i, e.revision
	v.drainBegins = append(v.drainBegins, drainBegin{e, e.runner.Started, v.clock.Uptime()})
	if len(v.drainBegins) > maxDrainingNews {
		v.drainBegins = slices.Delete(v.drainBegins, 0, 1)
	}
}

// DrainRevision returns the revision at which a runner last began to drain, 0 if none has.
func (v *View) DrainRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.drainRevision
}

// DrainingNews returns the listed runners that have begun to drain lately, the latest first,
// for VMs that do not have the table.
func (v *View) DrainingNews() []Incarnation {
	v.mu.Lock()
	defer v.mu.Unlock()
	var news []Incarnation
	now := v.clock.Uptime()
	for _, b := range slices.Backward(v.drainBegins) {
		if now-b.at >= drainingNewsTime {
			break
		}
		if b.entry.runner.Started == b.started && b.entry.runner.Draining && !b.entry.removed {
			news = append(news, IncarnationOf(b.entry.runner))
		}
	}
	return news
}
