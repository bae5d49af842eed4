package drproxy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drstore"
)

// Guards against requests for a plain service that a new process refuses as without a runner
// because it has not heard of the runners yet.
func TestPlainRequestWaitsForFirstTable(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := newCrashingWorld()
		defer w.close(t)
		w.view.RemoveRunner(w.runners["0"].id)
		w.view.RemoveRunner(w.runners["1"].id)
		w.view.ConfirmController()
		const pause = 50 * time.Millisecond
		w.running.Go(func() {
			time.Sleep(pause)
			w.describe(w.runners["1"], 2, "m")
		})
		waiting, took := w.ask("/get/x", "x")
		is.Equal(waiting.status, 200)
		is.True(took >= pause)

		w.view.ConfirmRunners(0, drstore.Position{})
		w.view.RemoveRunner(w.runners["1"].id)
		refused, took := w.ask("/get/y", "y")
		is.Equal(refused.status, 503)
		is.Equal(took, time.Duration(0)) // it is known that there is none
	})
}

// Guards against requests that a new process refuses although its configuration is about to
// come, and against those that wait for it for long.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newOrderWorld(1)
		defer w.close(t)
		refused, took := w.ask("/get/x", "x")
		is.Equal(refused.status, 503)
		is.Equal(took, configurationWait)

		const pause = 100 * time.Millisecond
		w.running.Go(func() {
			time.Sleep(pause)
			w.configureAttempts(1, 1, w.random(0))
		})
		answered, took := w.ask("/unknown/y", "y")
		is.Equal(answered.status, 404)
		is.Equal(took, pause)
	})
}
