package drcontroller

import "time"

const (
	// loadsWindow is the span over which loads from the weight store count,
	// and loadsShare the part of the permitted loads that is used.
	loadsWindow = 5 * time.Second
	loadsShare  = 0.8
	// loadsAtOnce bounds concurrent loads; beyond it each takes longer.
	loadsAtOnce = 4
)

// loadRate bounds loads from the weight store. A new controller assumes that
// its predecessor used up the window.
type loadRate struct {
	perSecond float64
	begun     []time.Time
	running   int
	since     time.Time // start of this controller
}

func (l *loadRate) available(now time.Time) int {
	for len(l.begun) > 0 && now.Sub(l.begun[0]) > loadsWindow {
		l.begun = l.begun[1:]
	}
	most := l.perSecond * loadsWindow.Seconds() * loadsShare
	if early := now.Sub(l.since); early < loadsWindow {
		most *= early.Seconds() / loadsWindow.Seconds()
	}
	return max(min(int(most)-len(l.begun), loadsAtOnce-l.running), 0)
}

func (l *loadRate) begin(now time.Time) {
	l.begun = append(l.begun, now)
	l.running++
}

func (l *loadRate) end() { l.running-- }
