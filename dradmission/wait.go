// Package dradmission decides how long a request waits for a runner that can take
// it, and when it is refused instead. It does no input or output.
package dradmission

import "time"

const (
	// serviceTime is what a request needs after its model is there.
	serviceTime = 150 * time.Millisecond
	// recheckInterval is how often the decision is made anew without a change.
	recheckInterval = 250 * time.Millisecond
	// noForecastWaitShare is the part of its time that a request waits without a
	// forecast, as while another VM becomes the controller.
	noForecastWaitShare = 0.5
	// controllerSilenceLimit is how long the controller must have been silent for this VM alone
	// to be cut off: another one takes over sooner than that.
	controllerSilenceLimit = 3 * time.Second
	// cutOffRetryAfter is the Retry-After of a VM that is cut off; the client's
	// next connection reaches another VM.
	cutOffRetryAfter = 50 * time.Millisecond
	// minRetryAfter keeps refused clients from coming back before anything
	// can have changed.
	minRetryAfter = 200 * time.Millisecond
)

// WaitingRequest is what is known of a request that finds no runner.
type WaitingRequest struct {
	Now       time.Time
	Began     time.Time     // when the request arrived
	Objective time.Duration // from Began
	TimeoutAt time.Time     // when it must have been answered
	// Expected is when the controller expects the model, if Forecast is set.
	Expected time.Time
	Forecast bool
	// Silence is the time since a controller last answered this VM.
	Silence time.Duration
}

// Decision says whether a request goes on waiting.
type Decision struct {
	Wait         bool
	RecheckAfter time.Duration // decide again after this time
	// RetryAfter is when a refused client should come back.
	RetryAfter time.Duration
	Why        string
}

// Decide lets a request wait while the expected time leaves enough to serve
// it. Under overload, when the forecast lies beyond its time, it is refused at
// once, with the time at which the model should be there.
func Decide(request WaitingRequest) Decision {
	latestStart := request.TimeoutAt.Add(-serviceTime)
	if !request.Now.Before(latestStart) {
		return Decision{RetryAfter: minRetryAfter, Why: "no time left"}
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
