package drcontroller

import "time"

const (
	// storeLoadWindow is the span over which loads from the weight store count,
	// and loadsShare the part of the permitted loads that is used.
	storeLoadWindow = 5 * time.Second
	storeLoadShare  = 0.8
	// maxConcurrentStoreLoads bounds concurrent loads; beyond it each takes longer.
	maxConcurrentStoreLoads = 4
)

// loadRate bounds loads from the weight store. A new controller assumes that
// its predecessor used up the window.
type loadRate struct {
	perSecond  float64
	startedAt  []time.Time
	inProgress int
	createdAt  time.Time // start of this controller
}

func (l *loadRate) available(now time.Time) int {
	for len(l.startedAt) > 0 && now.Sub(l.startedAt[0]) > storeLoadWindow {
		l.startedAt = l.startedAt[1:]
	}
	permitted := l.perSecond * storeLoadWindow.Seconds() * storeLoadShare
	if age := now.Sub(l.createdAt); age < storeLoadWindow {
		permitted *= age.Seconds() / storeLoadWindow.Seconds()
	}
	return max(min(int(permitted)-len(l.startedAt), maxConcurrentStoreLoads-l.inProgress), 0)
}

func (l *loadRate) begin(now time.Time) {
	l.startedAt = append(l.startedAt, now)
	l.inProgress++
}

func (l *loadRate) end() { l.inProgress-- }
