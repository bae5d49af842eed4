package drproxy

import (
	"cmp"
	"context"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drversion"
)

// This file holds which software version of the runners a stream may have. Events of two
// versions do not fit together, so a stream goes on only at the version that began it:
// docs/design/stream-versions.md.

// versionBound is the version of a stream, once it is known.
type versionBound struct {
	version string
	known   bool
}

// bindResumed finds out the version of a stream that the client takes up again. It returns
// false and a refusal if that is not sure, or if no runner of the version takes requests.
func (x *exchange) bindResumed() (refusal, bool) {
	if !x.mayContinue() {
		return refusal{}, true
	}
	if x.call.LastEvent <= 0 {
		x.server.deadlines.add(x.route.Name, x.call.Deadline)
		return refusal{}, true
	}
	replica, age := x.replica(), x.maxStreamAge()
	version, basis := x.versionBegan(replica, age)
	log.WithFields(log.Fields{"event": "stream-resumed", "request-id": x.call.ID, "resumes": x.call.Resumes, "last-event": x.call.LastEvent,
		"service": replica.Service, "version": version, "basis": basis.String(), "age": age, "covered": x.server.View.VersionsCovered(), "asked-for": x.server.Clock.Since(x.start)}).Info("")
	if !basis.Sure() {
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "version-unknown", detail: basis.String()}, false
	}
	if !x.server.View.ServesVersion(replica.Service, version) {
		return refusal{status: fasthttp.StatusServiceUnavailable, reason: "version-gone", detail: version}, false
	}
	x.bound = versionBound{version, true}
	return refusal{}, true
}

// StreamAsker asks VMs at which software version of the runners a stream began. settled is set
// if those that would know have answered.
type StreamAsker interface {
	AskStream(ctx context.Context, key drversion.Key) (version string, found, settled bool)
	// AwaitsController reports whether there is no controller to ask, and one is about to come.
	AwaitsController() bool
}

const (
	// maxAskTime is how long a stream may wait for its version: for a new controller, at most.
	maxAskTime = 3 * time.Second
	// maxTellTime is the time within which a VM has told the controller that a stream has begun.
	maxTellTime = 700 * time.Millisecond
	// askPause is the pause between two questions.
	askPause = 100 * time.Millisecond
)

// versionBegan returns the version at which the stream that the client takes up began, up to age
// before the request. If several are possible, it asks the controller, which VMs tell of streams.
func (x *exchange) versionBegan(replica drfleetview.Replica, age time.Duration) (version string, basis drversion.Basis) {
	s, key := x.server, drversion.KeyOf(replica.Service, x.call.Resumes)
	if version, known := s.View.StreamVersion(key); known {
		return version, drversion.Recorded
	}
	for {
		passed := s.Clock.Since(x.start)
		version, basis = s.View.VersionBegan(replica, x.call.Resumes, age+passed)
		if basis.Sure() || s.Streams == nil || x.call.Resumes == "" {
			return version, basis
		}
		version, found, settled := s.Streams.AskStream(context.Background(), key)
		switch {
		case found:
			return version, drversion.Recorded
		case settled && passed > maxTellTime, !settled && !s.View.VersionsInStep() && !s.Streams.AwaitsController():
			return "", basis
		case !x.pauseToAsk(min(maxAskTime, x.remaining()/2)):
			return "", basis
		}
	}
}

// pauseToAsk waits until the controller may be asked once more. It returns false if the request
// must not wait for that until limit has passed since it came.
func (x *exchange) pauseToAsk(limit time.Duration) bool {
	s := x.server
	if s.Clock.Since(x.start)+askPause > limit {
		return false
	}
	t := s.Clock.NewTimer(askPause)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-x.conn.Done():
	case <-s.stopWaiting:
	}
	return false
}

// checkTable returns false and a refusal if the request is to begin a stream that may be taken
// up elsewhere, and this VM is out of step: other VMs could not tell at which version it began.
func (x *exchange) checkTable() (refusal, bool) {
	if !x.mayContinue() || x.bound.known || x.server.View.MayBeginStreams(x.service.Name) {
		return refusal{}, true
	}
	_, age, _ := x.server.View.Ages()
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: "runners-stale",
		detail: "runners last confirmed " + age.Round(time.Millisecond).String() + " ago", retryAfter: retryAfterUnready}, false
}

// goesOnAtLeaving reports whether the client has taken the stream up and the runner that answers
// leaves. All others of its version may have left, too, and streams that this VM thinks they
// began have begun at another version.
func (a *attempt) goesOnAtLeaving() bool {
	x := a.exchange
	return x.mayContinue() && x.call.LastEvent > 0 && a.answer.Leaving
}

// mayContinue reports whether a run of the request may go on with what another one has begun.
func (x *exchange) mayContinue() bool { return x.route.Kind == drfleet.Stream && x.route.Resumable }

// maxStreamAge returns how long ago a stream that is taken up may have begun. Its client states
// what is left of the deadline that it stated at first, which is no longer than the longest
// one of other requests of the route.
func (x *exchange) maxStreamAge() time.Duration {
	left, longest := x.call.Deadline, x.server.deadlines.of(x.route.Name)
	if left > 0 && longest >= left {
		return max(longest, x.route.Timeout) - left
	}
	return cmp.Or(max(x.route.Timeout, left), defaultDeadline)
}

// bindTo binds the stream to the version of the runner that has sent its first event.
func (x *exchange) bindTo(runner *drfleet.Runner) {
	if !x.bound.known {
		x.bound = versionBound{runner.Version, true}
		if x.mayContinue() {
			x.server.View.RecordStream(drversion.Beginning{Key: drversion.KeyOf(runner.Service, x.call.ID), Version: runner.Version})
		}
	}
}

// version returns the software version of runners at which the request may run now; bound is
// false if any may. Before its first event a stream has the version that follows from its id,
// so that any VM can tell it later.
func (x *exchange) version() (version string, bound bool) {
	switch {
	case !x.mayContinue():
		return "", false
	case x.bound.known:
		return x.bound.version, true
	}
	return x.server.View.ChooseVersion(x.replica(), x.call.ID)
}

// awaitedReplica is replica for a request that waits: with the version that it needs.
func (x *exchange) awaitedReplica() drfleetview.Replica {
	p := x.replica()
	if x.server.View.VersionsMixed(p.Service) {
		p.Version, _ = x.version()
	}
	return p
}

// ofVersion returns those of the candidates at which the request may run now.
func (x *exchange) ofVersion(candidates []drbalancer.Candidate) []drbalancer.Candidate {
	version, bound := x.version()
	if !bound {
		return candidates
	}
	var fitting []drbalancer.Candidate
	for _, c := range candidates {
		if c.Runner.Version == version {
			fitting = append(fitting, c)
		}
	}
	return fitting
}
