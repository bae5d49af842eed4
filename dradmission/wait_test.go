package dradmission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/dradmission"
)

var arrival = time.Unix(1000, 0)

func situation(age, expectedIn time.Duration, forecast bool) dradmission.Situation {
	now := arrival.Add(age)
	return dradmission.Situation{
		Now: now, Began: arrival, Objective: 2 * time.Second, TimeoutAt: arrival.Add(10 * time.Second),
		Expected: now.Add(expectedIn), Forecast: forecast,
	}
}

// Replays a burst for idle models: a request waits while its model is expected
// in time.
func TestWaitsForExpectedModel(t *testing.T) {
	is := is.New(t)
	d := dradmission.Decide(situation(time.Second, time.Second, true))
	is.True(d.Wait)
	is.True(d.Again > 0)
}

// Replays overload: a request whose model comes too late is refused at once,
// not held to its deadline, and told when the model should be there.
func TestRefusesHopelessAtOnce(t *testing.T) {
	is := is.New(t)
	d := dradmission.Decide(situation(0, 12*time.Second, true))
	is.True(!d.Wait)
	is.Equal(d.RetryAfter, 12*time.Second)
}

// Replays the change of the controller, which takes about 3 s: a request with
// time left waits for the next one, but is not held to its deadline.
func TestWaitsOutChangeOfController(t *testing.T) {
	is := is.New(t)
	is.True(dradmission.Decide(situation(3*time.Second, 0, false)).Wait)
	is.True(!dradmission.Decide(situation(6*time.Second, 0, false)).Wait)
}

// Guards against a refusal after the client's deadline.
func TestRefusesBeforeDeadline(t *testing.T) {
	is := is.New(t)
	is.True(!dradmission.Decide(situation(9900*time.Millisecond, 0, true)).Wait)
	d := dradmission.Decide(situation(9700*time.Millisecond, 0, true))
	is.True(d.Wait)
	is.True(d.Again <= 150*time.Millisecond)
}

// Replays a VM that is cut off from the others for longer than a change of the
// controller takes: it refuses at once what it cannot serve, because the
// client's next connection reaches another VM.
func TestRefusesWhileCutOff(t *testing.T) {
	is := is.New(t)
	s := situation(0, 0, false)
	s.Silence = 4 * time.Second
	d := dradmission.Decide(s)
	is.True(!d.Wait)
	is.True(d.RetryAfter < time.Second)
	s.Silence = 2 * time.Second
	is.True(dradmission.Decide(s).Wait)
}
