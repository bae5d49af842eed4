package drplacement

import (
	"context"
	"time"
)

// sharedWake is one wake-up that several callers on this VM wait for. Its fields
// are guarded by the waker's mutex.
type sharedWake struct {
	waiters       int
	cancel        context.CancelFunc
	progress      chan struct{} // closed at each change
	done          bool
	location      Location
	err           error // reason for which the flight ended, or for which it waits
	expectedReady time.Time
	readyKnown    bool // ready is an estimate
}

// signalProgress announces a change. The caller holds the waker's mutex.
func (w *sharedWake) signalProgress() {
	close(w.progress)
	w.progress = make(chan struct{})
}
