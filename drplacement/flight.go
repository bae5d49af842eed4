package drplacement

import (
	"context"
	"time"
)

// flight is one wake-up that several callers on this VM wait for. Its fields
// are guarded by the waker's mutex.
type flight struct {
	waiters  int
	cancel   context.CancelFunc
	progress chan struct{} // closed at each change
	done     bool
	location Location
	err      error // reason for which the flight ended, or for which it waits
	ready    time.Time
	known    bool // ready is an estimate
}

// signal announces a change. The caller holds the waker's mutex.
func (f *flight) signal() {
	close(f.progress)
	f.progress = make(chan struct{})
}
