package drplacement

import "time"

// want is a wake-up that is being served. Its fields are guarded by the
// keeper's mutex.
type want struct {
	at time.Time // last wake-up
	// ready is the expected end of the load, valid if known.
	ready time.Time
	known bool
	// err is set when the wake-up is refused; the want is then dropped.
	err error
}
