package dradmission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/dradmission"
)

var arrival = time.Unix(1000, 0)

func waitingRequest(age, expectedIn time.Duration, forecast bool) dradmission.WaitingRequest {
	now := arrival.Add(age)
	return dradmission.WaitingRequest{
		Now: now, Began: arrival, Objective: 2 * time.Second, TimeoutAt: arrival.Add(10 * time.Second),
		Expected: now.Add(expectedIn), Forecast: forecast,
	}
}

// Replays a burst for idle models: a request waits while its model is expected
// in time.
func TestWaitsForExpectedModel(t *testing.T) {
	is := is.New(t)
	d := dradmission.Decide(waitingRequest(time.Second, time.Second, true))
	is.True(d.Wait)
	is.True(d.RecheckAfter > 0)
}

// Replays overload: a request whose model comes too late is refused at once,
// not held to its deadline, and told when the model should be there.
func TestRefusesHopelessAtOnce(t *testing.T) {
	is := is.New(t)
	d := dradmission.Decide(waitingRequest(0, 12*time.Second, true))
	is.True(!d.Wait)
	is.Equal(d.RetryAfter, 12*time.Second)
}

// Replays the change of the controller, which takes about 3 s: a request with
// time left waits for the next one, but is not held to its deadline.
func TestWaitsOutChangeOfController(t *testing.T) {
	is := is.New(t)
	is.True(dradmission.Decide(waitingRequest(3*time.Second, 0, false)).Wait)
	is.True(!dradmission.Decide(waitingRequest(6*time.Second, 0, false)).Wait)
}

// Guards against a refusal after the client's deadline.
func TestRefusesBeforeDeadline(t *testing.T) {
	is := is.New(t)
	is.True(!dradmission.Decide(waitingRequest(9900*time.Millisecond, 0, true)).Wait)
	d := dradmission.Decide(waitingRequest(9700*time.Millisecond, 0, true))
	is.True(d.Wait)
	is.True(d.RecheckAfter <= 150*time.Millisecond)
}

// Replays a VM that is cut off from the others for longer than a change of the
// controller takes: it refuses at once what it cannot serve, because the
// client's next connection reaches another VM.
func TestRefusesWhileCutOff(t *testing.T) {
	is := is.New(t)
	request := waitingRequest(0, 0, false)
	request.Silence = 4 * time.Second
	d := dradmission.Decide(request)
	is.True(!d.Wait)
	is.True(d.RetryAfter < time.Second)
	request.Silence = 2 * time.Second
	is.True(dradmission.Decide(request).Wait)
}
