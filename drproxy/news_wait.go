package drproxy

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drfleetview"
)

const (
	// configurationWait is how long a request waits for the first configuration.
	configurationWait = 500 * time.Millisecond
	// newsRecheck is the interval at which a request that waits for news looks for them.
	newsRecheck = 20 * time.Millisecond
)

// awaitNews waits for what this VM is about to hear, within a few round trips if the store or a
// controller is reached: the first configuration of a new process, and what has changed while it
// stood still. It waits for half of the request's time at most. It returns false if the client
// has left.
func (x *exchange) awaitNews() bool {
	v := x.server.View
	if d, _ := v.Deployment(); d == nil {
		return x.awaitView(configurationWait, func() bool { d, _ := v.Deployment(); return d != nil })
	}
	if v.CatchingUp() {
		return x.awaitView(drfleetview.CatchUpTime, func() bool { return !v.CatchingUp() })
	}
	return true
}

// awaitView waits until the view of this VM meets a condition, for limit and half of the
// request's time at most. It returns false if the client has left.
func (x *exchange) awaitView(limit time.Duration, met func() bool) bool {
	s := x.server
	if x.call.Deadline > 0 {
		limit = min(limit, x.call.Deadline/2)
	}
	began := s.Clock.Now()
	defer func() { x.waited += s.Clock.Since(began) }()
	end := s.Clock.NewTimer(limit)
	defer end.Stop()
	for changed := s.View.Changed(); !met(); changed = s.View.Changed() {
		recheck := s.Clock.NewTimer(newsRecheck)
		select {
		case <-changed:
		case <-recheck.C():
		case <-end.C():
			recheck.Stop()
			return true
		case <-s.stopWaiting:
			recheck.Stop()
			return true
		case <-x.conn.Done():
			recheck.Stop()
			return false
		}
		recheck.Stop()
	}
	return true
}
