// Package dradmission decides whether a request that finds no runner waits for
// one or is refused. It does no input or output.
package dradmission

import "time"

const (
	// serviceTime is the time that a request needs once its model is loaded. It
	// must remain before the timeout for the request to go on waiting.
	serviceTime = 150 * time.Millisecond
	// recheckInterval is how long a waiting request goes without a new decision
	// if nothing changes.
	recheckInterval = 250 * time.Millisecond
	// noForecastWaitShare is the part of the time from arrival to timeout that
	// a request waits without a forecast, as while another VM becomes the
	// controller.
	noForecastWaitShare = 0.5
	// controllerSilenceLimit is how long no controller may have answered before
	// this VM counts as cut off from the others. If the controller itself had
	// failed, another VM would have taken over sooner.
	controllerSilenceLimit = 3 * time.Second
	// cutOffRetryAfter is the Retry-After of a VM that is cut off. It is short
	// because the client's next connection reaches another VM.
	cutOffRetryAfter = 50 * time.Millisecond
	// minRecheck keeps a request that waits for the end of a pause from asking in a
	// loop.
	minRecheck = time.Millisecond
	// plainRetryAfter is the Retry-After while a plain service has no runner: about
	// the time that a restarted runner takes to be listed again.
	plainRetryAfter = time.Second
	// outOfServiceRetryAfter is the Retry-After while operators keep all runners of a
	// service out of service. When they end that is not known.
	outOfServiceRetryAfter = 2 * time.Second
	// minRetryAfter is the least Retry-After otherwise, so that refused clients
	// do not retry before anything can have changed.
	minRetryAfter = 200 * time.Millisecond
)

// WaitingRequest holds what Decide needs to know about a request that finds no
// runner.
type WaitingRequest struct {
	Now       time.Time
	Began     time.Time     // when the request arrived
	Objective time.Duration // the route's, counted from Began
	TimeoutAt time.Time     // when it must have been answered, or its client leaves
	// Expected is when the controller expects the model to be loaded. It is
	// valid only if Forecast is set.
	Expected time.Time
	Forecast bool
	// Silence is the time since a controller last answered this VM.
	Silence time.Duration
	// Paused is set if a runner that could serve the request takes none until
	// PauseEnd.
	Paused   bool
	PauseEnd time.Time
	// OutOfService is set if all runners of the service are in availability zones that
	// are out of service.
	OutOfService bool
	// Loadable is set if the model can be loaded on other runners, or this VM may get
	// permits for a runner that bears few requests.
	Loadable bool
}

// Decision says whether a request goes on waiting. RetryAfter and Why are set
// only if it does not, RecheckAfter only if it does.
type Decision struct {
	Wait         bool
	RecheckAfter time.Duration // call Decide again after this time
	// RetryAfter is the time after which a refused client should retry.
	RetryAfter time.Duration
	Why        string
}

// pauseEndsInTime reports whether a paused runner comes back within the request's
// objective, and no later than the model is expected elsewhere.
func (r WaitingRequest) pauseEndsInTime(latestStart time.Time) bool {
	if !r.Paused || r.PauseEnd.After(r.Began.Add(r.Objective)) || r.PauseEnd.After(latestStart) {
		return false
	}
	return !r.Forecast || !r.PauseEnd.After(r.Expected)
}

// refuseUnloadable refuses a request whose service has no runner that takes it now.
func (r WaitingRequest) refuseUnloadable() Decision {
	if r.Paused {
		return Decision{RetryAfter: max(r.PauseEnd.Sub(r.Now), minRetryAfter), Why: "all runners want no requests for a time"}
	}
	return Decision{RetryAfter: plainRetryAfter, Why: "the service has no available runner"}
}

// Decide lets a request wait as long as its model is expected early enough to
// serve it before the timeout, or a paused runner comes back within its objective.
// If the forecast is later, as under overload, the request is refused at once, with
// a Retry-After that lasts until the model is expected.
func Decide(request WaitingRequest) Decision {
	latestStart := request.TimeoutAt.Add(-serviceTime)
	if !request.Now.Before(latestStart) {
		return Decision{RetryAfter: minRetryAfter, Why: "too little time left before the timeout"}
	}
	if request.OutOfService {
		return Decision{RetryAfter: outOfServiceRetryAfter, Why: "all runners are in zones out of service"}
	}
	if request.pauseEndsInTime(latestStart) {
		return Decision{Wait: true, RecheckAfter: max(min(recheckInterval, request.PauseEnd.Sub(request.Now)), minRecheck)}
	}
	if !request.Loadable {
		return request.refuseUnloadable()
	}
	if !request.Forecast && request.Silence > controllerSilenceLimit {
		return Decision{RetryAfter: cutOffRetryAfter, Why: "cut off from the controller"}
	}
	if !request.Forecast {
		if maxWait := request.TimeoutAt.Sub(request.Began).Seconds() * noForecastWaitShare; request.Now.Sub(request.Began).Seconds() > maxWait {
			return Decision{RetryAfter: minRetryAfter, Why: "no forecast"}
		}
		return Decision{Wait: true, RecheckAfter: min(recheckInterval, latestStart.Sub(request.Now))}
	}
	if request.Expected.After(latestStart) {
		return Decision{RetryAfter: max(request.Expected.Sub(request.Now), minRetryAfter), Why: "expected too late"}
	}
	return Decision{Wait: true, RecheckAfter: min(recheckInterval, latestStart.Sub(request.Now))}
}
