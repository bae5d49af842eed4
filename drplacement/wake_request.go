package drplacement

import "time"

// wakeRequest is an open request to load a model, shared by all wake calls for
// it. Its fields are guarded by the mutex of the runnerController.
type wakeRequest struct {
	requestedAt time.Time // time of the newest wake call
	// expectedReady is the expected end of the load, valid if readyKnown.
	expectedReady time.Time
	readyKnown    bool
	// err is set when the request is refused. The controller then drops the
	// request.
	err error
}
