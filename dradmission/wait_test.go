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
		Expected: now.Add(expectedIn), Forecast: forecast, Loadable: true,
	}
}

// Guards against refusing a request whose model is being loaded and is expected
// in time, as in a burst of requests for idle models.
func TestWaitsForExpectedModel(t *testing.T) {
	is := is.New(t)
	d := dradmission.Decide(waitingRequest(time.Second, time.Second, true))
	is.True(d.Wait)
	is.True(d.RecheckAfter > 0)
}

// Guards against holding a request until its deadline although its model comes
// too late, as under overload: it must be refused at once, with a Retry-After
// that names the expected time.
func TestRefusesHopelessAtOnce(t *testing.T) {
	is := is.New(t)
	d := dradmission.Decide(waitingRequest(0, 12*time.Second, true))
	is.True(!d.Wait)
	is.Equal(d.RetryAfter, 12*time.Second)
}

// Guards against refusing a request while another VM becomes the controller,
// which takes about 3 s and leaves this VM without forecasts, and against
// holding it until its deadline if no forecast comes.
func TestWaitsOutChangeOfController(t *testing.T) {
	is := is.New(t)
	is.True(dradmission.Decide(waitingRequest(3*time.Second, 0, false)).Wait)
	is.True(!dradmission.Decide(waitingRequest(6*time.Second, 0, false)).Wait)
}

// Guards against a refusal that reaches the client after its deadline: a request
// with too little time left is refused, and one that waits is rechecked before
// that point.
func TestRefusesBeforeDeadline(t *testing.T) {
	is := is.New(t)
	is.True(!dradmission.Decide(waitingRequest(9900*time.Millisecond, 0, true)).Wait)
	d := dradmission.Decide(waitingRequest(9700*time.Millisecond, 0, true))
	is.True(d.Wait)
	is.True(d.RecheckAfter <= 150*time.Millisecond)
}

// Guards against waiting on a VM that is cut off from the others, which no
// forecast can reach. Once no controller has answered for longer than a takeover
// lasts, it must refuse with a short Retry-After, because the client's next
// connection reaches another VM.
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

// Guards against requests that wait for nothing while operators keep all runners of their
// service out of service.
func TestRefusesAtOnceWhileAllZonesAreOut(t *testing.T) {
	is := is.New(t)
	request := waitingRequest(0, 0, false)
	request.OutOfService = true
	d := dradmission.Decide(request)
	is.True(!d.Wait)
	is.True(d.RetryAfter >= time.Second)
}
