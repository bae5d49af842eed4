package drfleetview

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drversion"
)

const (
	// AliveInterval is the interval at which NoteAlive is to be called.
	AliveInterval = 250 * time.Millisecond
	// maxAliveGap is the time without a call after which this VM has stood still.
	maxAliveGap = time.Second
	// CatchUpTime is how long a VM that has stood still may take to hear from others again.
	CatchUpTime = 500 * time.Millisecond
)

// stallWatch notices that this VM has stood still: that it was suspended, or got no processor
// time. Times are uptimes.
type stallWatch struct {
	aliveAt time.Duration
	begun   bool
	// resumedAt is when this VM last went on after it had stood still, if that is known.
	resumedAt time.Duration
	resumed   bool
}

// note records that this VM runs.
func (w *stallWatch) note(now time.Duration) {
	if gap := now - w.aliveAt; w.begun && gap > maxAliveGap {
		w.resumedAt, w.resumed = now, true
		log.WithFields(log.Fields{"event": "stood-still", "for": gap}).Warn("")
	}
	w.aliveAt, w.begun = now, true
}

// NoteAlive records that this VM runs. Gaps between the calls show that it has stood still.
func (v *View) NoteAlive() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stall.note(v.clock.Uptime())
}

// CatchingUp reports whether this VM has just stood still and not heard yet what has changed
// meanwhile. One that is cut off is not.
func (v *View) CatchingUp() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.stall.begun {
		return false
	}
	now := v.clock.Uptime()
	v.stall.note(now)
	if !v.stall.resumed || now-v.stall.resumedAt > CatchUpTime {
		return false
	}
	return now-min(v.deploymentAt, v.runnersAt) > drversion.MaxLag || !v.versions.KnowsLag(now)
}
