package drcontroller

import "time"

const (
	// storeLoadWindow is the time over which loads from the weight store are
	// counted, and storeLoadShare the share of the permitted loads that the
	// controller uses.
	storeLoadWindow = 5 * time.Second
	storeLoadShare  = 0.8
	// maxConcurrentStoreLoads limits concurrent loads from the weight store.
	// With more, each takes longer.
	maxConcurrentStoreLoads = 4
)

// loadRate limits the loads from the weight store. A new controller assumes
// that the previous one has used up the whole window.
type loadRate struct {
	perSecond  float64
	startedAt  []time.Time
	inProgress int
	createdAt  time.Time // start of this controller's term
}

// available returns the number of loads that may start now.
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
