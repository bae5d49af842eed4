package drcontroller

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// syncLimits sends a report of a VM that has used some runners, and returns the limits in
// the reply.
func (w *controllerFixture) syncLimits(vm string, used []drfleetview.Incarnation, limits ...*drpb.FleetLimit) []*drpb.FleetLimit {
	return w.syncLimitsLate(vm, 0, used, limits...)
}

// syncLimitsLate is syncLimits with a report that has been on its way for a time.
func (w *controllerFixture) syncLimitsLate(vm string, late time.Duration, used []drfleetview.Incarnation, limits ...*drpb.FleetLimit) []*drpb.FleetLimit {
	made := &drpb.FleetMoment{Term: w.controller.Term, UptimeMs: uint64((w.controller.Clock.Uptime() - late).Milliseconds())}
	request := &drpb.FleetSyncRequest{Term: w.controller.Term, Limits: limits, Made: made}
	for _, i := range used {
		request.Uses = append(request.Uses, &drpb.FleetUse{Runner: i.Runner, Started: i.Started, Succeeded: 1})
	}
	return w.controller.Sync(context.Background(), vm, 1, request).GetLimits()
}

// offerRunners lists runners of service llm.
func (w *controllerFixture) offerRunners(n int) (added []drfleetview.Incarnation) {
	for i := range n {
		r := &drfleet.Runner{ID: fmt.Sprintf("limited-%03d", i), Service: "llm", Beat: 1, Started: 7}
		w.view.OfferRunner(r, drfleetview.FromRunner)
		added = append(added, drfleetview.IncarnationOf(r))
	}
	return added
}

// Guards against VMs that go on believing a limit that has changed or ended, and against
// telling VMs of runners that they do not use.
func TestControllerCorrectsLimits(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	all := w.offerRunners(1)
	r := encodeIncarnation(all[0])
	is.Equal(len(w.syncLimits("vm-a", all, &drpb.FleetLimit{Runner: r, Rate: 3, AgeMs: 1000})), 0) // as known
	told := w.syncLimits("vm-b", all)
	is.Equal(len(told), 1)
	is.Equal(told[0].GetRate(), 3.0)
	is.True(told[0].GetAgeMs() >= 1000)
	is.Equal(len(w.syncLimits("vm-c", nil)), 0)                                                              // has sent it nothing
	is.Equal(w.syncLimits("vm-b", all, &drpb.FleetLimit{Runner: r, Rate: 8, AgeMs: 9000})[0].GetRate(), 3.0) // said before
	is.Equal(len(w.syncLimits("vm-b", all, &drpb.FleetLimit{Runner: r})), 0)
	is.Equal(w.syncLimits("vm-a", all, &drpb.FleetLimit{Runner: r, Rate: 3, AgeMs: 2000})[0].GetRate(), 0.0) // has ended
	is.Equal(len(w.syncLimits("vm-a", all)), 0)
}

// Guards against all VMs together sending a runner more than its limit, because the report
// of a VM that says nothing of it, or names a former, higher limit, was long on its way.
func TestLateReportDoesNotRaiseLimit(t *testing.T) {
	for _, former := range []float64{0, 8} {
		is := is.New(t)
		w := newControllerFixture(t)
		all := w.offerRunners(1)
		r := encodeIncarnation(all[0])
		is.Equal(len(w.syncLimits("vm-a", all, &drpb.FleetLimit{Runner: r, Rate: 3, AgeMs: 1000})), 0)
		is.Equal(w.syncLimitsLate("vm-b", 2*time.Second, all, &drpb.FleetLimit{Runner: r, Rate: former})[0].GetRate(), 3.0)

		request := &drpb.FleetSyncRequest{Term: w.controller.Term, Limits: []*drpb.FleetLimit{{Runner: r, Rate: former}}}
		for _, made := range []*drpb.FleetMoment{nil, {Term: w.controller.Term + 1, UptimeMs: math.MaxUint32}} {
			request.Made = made
			is.Equal(w.controller.Sync(context.Background(), "vm-b", 1, request).GetLimits()[0].GetRate(), 3.0) // made at an unknown time
		}
	}
}

// Guards against a former, higher limit that replaces a lower one for all VMs, because a VM
// was suspended before it read the answer that named it and had not heard of the lower one.
func TestAnswerReadLateDoesNotRaiseLimit(t *testing.T) {
	for _, known := range []bool{false, true} {
		is := is.New(t)
		w := newControllerFixture(t)
		all := w.offerRunners(1)
		r, _ := w.view.Runner(all[0].Runner)
		clock := drclock.NewFake(time.Unix(1000, 0))
		v := drfleetview.New(clock)
		v.OfferRunner(r, drfleetview.FromController)
		if known {
			v.OfferAnswer(all[0], 8, clock.Uptime())
		}
		sent := clock.Uptime()
		clock.Advance(2 * time.Second)
		is.Equal(len(w.syncLimits("vm-a", all, &drpb.FleetLimit{Runner: encodeIncarnation(all[0]), Rate: 3, AgeMs: 500})), 0)
		v.OfferAnswer(all[0], 8, sent)
		w.syncLimits("vm-b", all, encodeLimits(v.Limits())...)
		limit, _ := w.view.LimitOf(all[0])
		is.Equal(limit.Rate, 3.0)
	}
}

// Guards against a runner that gets more than its limit, because the VM that has heard of a
// lower one cannot tell exactly when it made its report.
func TestLowerLimitOfUncertainReportCounts(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	all := w.offerRunners(1)
	r := encodeIncarnation(all[0])
	is.Equal(len(w.syncLimits("vm-a", all, &drpb.FleetLimit{Runner: r, Rate: 8, AgeMs: 500})), 0)
	for _, uncertainty := range []uint32{0, 1000} {
		made := &drpb.FleetMoment{Term: w.controller.Term, UptimeMs: uint64((w.controller.Clock.Uptime() - time.Second).Milliseconds()), UncertaintyMs: uncertainty}
		request := &drpb.FleetSyncRequest{Term: w.controller.Term, Limits: []*drpb.FleetLimit{{Runner: r, Rate: 3}}, Made: made}
		is.Equal(len(w.controller.Sync(context.Background(), "vm-b", 1, request).GetLimits()) == 0, uncertainty > 0)
	}
}

// Guards against malformed limits of another VM, and against reports and replies that grow
// with the number of limited runners.
func TestLimitsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	all := w.offerRunners(2 * maxToldLimits)
	for _, rate := range []float64{-1, math.NaN()} {
		offerLimits(w.view, []*drpb.FleetLimit{{Runner: encodeIncarnation(all[0]), Rate: rate}}, time.Hour, time.Hour, log.Fields{})
	}
	offerLimits(w.view, []*drpb.FleetLimit{{Rate: 3}}, time.Hour, time.Hour, log.Fields{})
	is.Equal(len(w.view.Limits()), 0)
	for i, r := range all {
		w.view.OfferLimit(r, 3, time.Duration(i))
	}
	encoded := encodeLimits(w.view.Limits())
	is.Equal(len(encoded), maxReportedLimits)
	is.Equal(encoded[0].GetRunner().GetRunner(), all[len(all)-1].Runner) // the newest
	var wrong []*drpb.FleetLimit
	for _, r := range all[:maxReportedLimits] {
		wrong = append(wrong, &drpb.FleetLimit{Runner: encodeIncarnation(r), Rate: 5, AgeMs: math.MaxUint32})
	}
	is.Equal(len(w.syncLimits("vm-a", all, wrong...)), maxReportedLimits+maxToldLimits)
}

// Guards against a controller that never hears which limits runners have named to a VM.
func TestLimitsAreReported(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	defer f.close()
	n := f.nodes["vm-0"].Node
	r := &drfleet.Runner{ID: "r1", Service: "llm", Started: 7}
	n.View.OfferRunner(r, drfleetview.FromRunner)
	is.True(n.View.OfferLimit(drfleetview.IncarnationOf(r), 3, n.Clock.Uptime()))
	request := &drpb.FleetSyncRequest{}
	n.fillRequest(request)
	is.Equal(len(request.GetLimits()), 1)
	is.Equal(decodeIncarnation(request.GetLimits()[0].GetRunner()), drfleetview.IncarnationOf(r))
	is.Equal(request.GetLimits()[0].GetRate(), 3.0)
}

// Guards against requests that are refused because they would wait too long for a limited
// runner, although their model is about to be loaded on another.
func TestForecastKnowsLoadsBesideLimits(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	r1, _ := w.view.Runner("r1")
	w.view.OfferLimit(drfleetview.IncarnationOf(r1), 1, 0)
	want, now := wantOfModelA(9, 0).GetWants()[0], time.Now()
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	expected, ok := c.forecast(want, now)
	is.True(ok)
	is.Equal(expected, 9*time.Second/2) // the mean of 9 requests
	c.runnerStates["r2"] = &runnerState{swap: &drscheduler.Swap{Load: "a"}, expectedDoneAt: now.Add(time.Second)}
	expected, ok = c.forecast(want, now)
	is.True(ok)
	is.Equal(expected, time.Second)
}

// Guards against requests that wait for a limited runner for ever, because a new controller
// does not know the limit and the report has no room for it.
func TestWaitedForLimitsAreReportedFirst(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	for i, r := range w.offerRunners(maxReportedLimits) {
		w.view.OfferLimit(r, 3, time.Duration(i+1))
	}
	w.view.OfferLimit(drfleetview.Incarnation{Runner: "r1"}, 3, 0) // the oldest
	defer w.view.AddWaiter(drfleetview.Replica{Service: "llm", Model: "a"}, time.Now(), time.Now(), 0).Close()
	is.Equal(encodeLimits(w.view.Limits())[0].GetRunner().GetRunner(), "r1")
}
