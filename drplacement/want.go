package drplacement

import "time"

// wakeRequest is a wake-up that is being served. Its fields are guarded by the
// keeper's mutex.
type wakeRequest struct {
	requestedAt time.Time // last wake-up
	// expectedReady is the expected end of the load, valid if known.
	expectedReady time.Time
	readyKnown    bool
	// err is set when the wake-up is refused; the want is then dropped.
	err error
}
