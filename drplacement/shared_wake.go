package drplacement

import (
	"context"
	"time"
)

// sharedWake is one attempt to have a model loaded, which all callers on this
// VM that ask for the model share. Its fields are guarded by the mutex of the
// Waker.
type sharedWake struct {
	waiters       int
	cancel        context.CancelFunc
	progress      chan struct{} // closed at each change and replaced
	done          bool
	location      Location
	err           error // why the attempt ended or has to wait
	expectedReady time.Time
	readyKnown    bool // whether expectedReady is set
}

// signalProgress tells all waiters that a field has changed. The caller holds
// the mutex of the Waker.
func (w *sharedWake) signalProgress() {
	close(w.progress)
	w.progress = make(chan struct{})
}
