package drcontroller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// reportPause sends a report of a VM whose requests wait for a model while its only
// runner, r1, has asked for none for a time.
func (w *controllerFixture) reportPause(vm, model string, pause time.Duration) {
	request := &drpb.FleetSyncRequest{Wants: []*drpb.FleetWant{{
		Replica: &drpb.FleetReplica{Service: "llm", Model: model}, Waiting: 1, ObjectiveLeftMs: 1000, DeadlineLeftMs: 9000,
	}}}
	if pause > 0 {
		request.Pauses = encodePauses([]drfleetview.Pause{{Incarnation: drfleetview.Incarnation{Runner: "r1"}, Left: pause}})
	}
	w.controller.Sync(context.Background(), vm, 1, request)
}

// Guards against a controller that never hears of pauses.
func TestPausesAreReported(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].Node
	n.View.OfferRunner(&drfleet.Runner{ID: "r1", Service: "llm", Started: 7}, drfleetview.FromRunner)
	paused := drfleetview.Incarnation{Runner: "r1", Started: 7}
	is.True(n.View.Pause(paused, 3*time.Second))
	request := &drpb.FleetSyncRequest{}
	n.fillRequest(request)
	received := f.clock.Now()
	left := decodePauses(request.GetPauses(), received)[paused].Sub(received)
	is.True(left > 2*time.Second && left <= 3*time.Second)
}

// Guards against refusing requests for a model or an adapter for as long as its only
// runner wants none, because the controller takes it for usable; and against loading
// models elsewhere for a short pause or for that of one VM among many.
func TestModelOfPausedRunnerIsLoadedElsewhere(t *testing.T) {
	for _, c := range []struct {
		vms, paused int
		pause       time.Duration
		loads       bool
	}{{1, 1, 10 * time.Second, true}, {4, 2, 10 * time.Second, true}, {4, 1, 10 * time.Second, false}, {1, 1, 500 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(c.paused, "-of-", c.vms, "-", c.pause), func(t *testing.T) {
			is := is.New(t)
			w := newControllerFixture(t)
			w.engines.mu.Lock()
			w.engines.runners["r2"] = &fakeRunner{onDisk: []string{"a", "b"}, orders: 1}
			w.engines.mu.Unlock()
			w.view.OfferRunner(&drfleet.Runner{ID: "r2", Service: "llm"}, drfleetview.FromRunner)
			eventually(t, "both runners have reported", func() bool {
				w.controller.mu.Lock()
				defer w.controller.mu.Unlock()
				s := w.controller.runnerStates["r2"]
				return s != nil && s.reported
			})
			for i := range c.vms {
				pause := time.Duration(0)
				if i < c.paused {
					pause = c.pause
				}
				w.reportPause(fmt.Sprint("vm", i), "a", pause)
			}
			for range 40 {
				if slices.Contains(w.engines.loadedModels("r2"), "a") {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(slices.Contains(w.engines.loadedModels("r2"), "a"), c.loads)
		})
	}
}
