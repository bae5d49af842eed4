package drcontroller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// fakeEngines carries out orders as the platform's runners do.
type fakeEngines struct {
	mu      sync.Mutex
	runners map[string]*fakeRunner
	sent    []drscheduler.Order
	// lostAnswers is the number of next orders that are carried out but whose
	// response is lost.
	lostAnswers int
}

// fakeRunner is the state of a runner that loads one model at a time.
type fakeRunner struct {
	orders    int
	fence     uint64
	models    []string
	loading   string
	busyUntil time.Time
	onDisk    []string
	// saysLeavingInAnswers and saysLeavingInReports are set if its answers to orders,
	// or its reports, say that it leaves.
	saysLeavingInAnswers, saysLeavingInReports bool
}

// fakeLoadTime is the time that a fakeRunner takes to load a model.
const fakeLoadTime = 30 * time.Millisecond

// finishLoad makes the loading model available once its load time is over.
func (s *fakeRunner) finishLoad() {
	if s.loading != "" && time.Now().After(s.busyUntil) {
		s.models = append(s.models, s.loading)
		s.loading = ""
	}
}

func (e *fakeEngines) Order(_ context.Context, r *drfleet.Runner, o drscheduler.Order) (drscheduler.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, o)
	s := e.runners[r.ID]
	s.finishLoad()
	out := s.execute(o)
	if s.saysLeavingInAnswers {
		out = drscheduler.Leaving
	}
	if e.lostAnswers > 0 {
		e.lostAnswers--
		return drscheduler.Unknown, context.DeadlineExceeded
	}
	return out, nil
}

// execute accepts or refuses an order by the same rules as a runner.
func (s *fakeRunner) execute(o drscheduler.Order) drscheduler.Outcome {
	switch {
	case o.Fence < s.fence:
		return drscheduler.Fenced
	case o.Operation == drscheduler.Load && slices.Contains(s.models, o.Model):
		return drscheduler.Holds
	case s.loading != "" || o.After != s.orders:
		return drscheduler.Conflicting
	}
	s.fence = o.Fence
	s.orders++
	if o.Operation == drscheduler.Unload {
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.Model })
	} else {
		s.loading, s.busyUntil = o.Model, time.Now().Add(fakeLoadTime)
	}
	return drscheduler.Accepted
}

func (e *fakeEngines) Report(_ context.Context, r *drfleet.Runner) (drscheduler.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.runners[r.ID]
	s.finishLoad()
	report := drscheduler.Report{Orders: s.orders, Busy: s.loading != "", OnDisk: s.onDisk, Leaving: s.saysLeavingInReports}
	for _, m := range s.models {
		report.Replicas = append(report.Replicas, drfleet.Replica{Model: m})
	}
	return report, nil
}

func (e *fakeEngines) loadedModels(id string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runners[id].finishLoad()
	return slices.Clone(e.runners[id].models)
}

// sentOrders returns the orders that were sent so far.
func (e *fakeEngines) sentOrders() []drscheduler.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.sent)
}

// controllerFixture is a controller over one fake runner, r1, which holds
// models a and b and has room for two models.
type controllerFixture struct {
	view       *drfleetview.View
	engines    *fakeEngines
	controller *Controller
	holdsLease atomic.Bool
}

// discardLogs is called once only, because controllers of a test may be running.
var discardLogs = sync.OnceFunc(func() { log.SetHandler(discard.Default) })

func newControllerFixture(t *testing.T, changes ...func(*ControllerConfig)) *controllerFixture {
	discardLogs()
	clock := drclock.System{}
	w := &controllerFixture{view: drfleetview.New(clock), engines: &fakeEngines{runners: map[string]*fakeRunner{
		"r1": {models: []string{"a", "b"}, onDisk: []string{"a", "b", "c"}, orders: 4},
	}}}
	models := make(map[string]drfleet.Model)
	for _, m := range []string{"a", "b", "c", "d"} {
		models[m] = drfleet.Model{Name: m, Size: 60, FromStore: time.Second, FromDisk: fakeLoadTime, FromMemory: fakeLoadTime}
	}
	d, err := drfleet.NewDeployment(drfleet.Config{Version: 1, Services: []drfleet.Service{
		{Name: "llm", Engine: &drfleet.Engine{WeightMemory: 130, AdapterSlots: 2, LoadsPerSecond: 5, Models: models}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	w.view.OfferDeployment(d, []byte("1"))
	w.view.OfferRunner(&drfleet.Runner{ID: "r1", Service: "llm", Replicas: []drfleet.Replica{{Model: "a"}, {Model: "b"}}}, drfleetview.FromRunner)
	w.holdsLease.Store(true)
	config := ControllerConfig{
		Clock: clock, Engines: w.engines, Metrics: drmetric.New(), Holder: "vm", Term: 9, Holds: w.holdsLease.Load,
	}
	for _, change := range changes {
		change(&config)
	}
	w.controller = NewController(config, w.view)
	t.Cleanup(w.controller.Close)
	return w
}

// reportWant sends a report of a VM that has one request waiting for a model.
func (w *controllerFixture) reportWant(model string) {
	w.controller.Sync(context.Background(), "vm2", 1, &drpb.FleetSyncRequest{Wants: []*drpb.FleetWant{{
		Replica: &drpb.FleetReplica{Service: "llm", Model: model}, Waiting: 1, ObjectiveLeftMs: 1000, DeadlineLeftMs: 9000,
	}}})
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// Guards against orders with a wrong count or fencing token, and against a load
// that is sent before the unload that frees its memory, which crashes a runner.
func TestControllerSwapsModels(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	w.reportWant("c")
	eventually(t, "c is loaded", func() bool { return slices.Contains(w.engines.loadedModels("r1"), "c") })
	eventually(t, "the view knows", func() bool {
		r, _ := w.view.Runner("r1")
		return r.Holds("c", "")
	})
	first, second := w.engines.sent[0], w.engines.sent[1]
	is.Equal(first.Operation, drscheduler.Unload)
	is.Equal(first.After, 4) // the count that the runner reports, which its entry lacks
	is.Equal(second.Operation, drscheduler.Load)
	is.Equal(second.After, 5)
	is.Equal(second.Fence, uint64(9))
	is.Equal(len(w.engines.loadedModels("r1")), 2)
}

// Guards against treating an order without a response as not accepted: the
// controller must query the runner before it sends the next order.
func TestControllerBearsLostAnswers(t *testing.T) {
	w := newControllerFixture(t)
	w.engines.lostAnswers = 2
	w.reportWant("c")
	end := time.Now().Add(8 * time.Second)
	for !slices.Contains(w.engines.loadedModels("r1"), "c") {
		if time.Now().After(end) {
			t.Fatal("c is not loaded")
		}
		w.reportWant("c")
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against orders from a VM that no longer holds the lease.
func TestControllerStopsWithoutLease(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	w.holdsLease.Store(false)
	w.reportWant("c")
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(w.engines.sent), 0)
}

// Guards against a change that a VM learns only with its next report, although
// a report of the VM is pending at the controller.
func TestSyncReturnsWithChange(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	eventually(t, "the report of r1 is in the table", func() bool {
		r, _ := w.view.Runner("r1")
		return r.Orders == 4
	})
	first := w.controller.Sync(context.Background(), "vm2", 1, &drpb.FleetSyncRequest{})
	is.True(first.GetWhole())
	done := make(chan *drpb.FleetSyncReply, 1)
	go func() {
		done <- w.controller.Sync(context.Background(), "vm2", 1, &drpb.FleetSyncRequest{
			Term: 9, Revision: first.GetRevision(), Deployment: 1, WaitMs: 5000,
		})
	}()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	w.view.OfferRunner(&drfleet.Runner{ID: "r9", Service: "app"}, drfleetview.FromRunner)
	reply := <-done
	is.True(time.Since(began) < time.Second)
	is.True(slices.ContainsFunc(reply.GetRunners(), func(r *drpb.FleetRunner) bool { return r.GetId() == "r9" }))
}

// Guards against more loads from the weight store than its rate limit permits
// in any window, including the window in which another controller may have used
// the limit up.
func TestLoadRate(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	l := loadRate{perSecond: 2, createdAt: start}
	is.Equal(l.available(start), 0)
	now := start.Add(storeLoadWindow)
	begun := 0
	for l.available(now) > 0 {
		l.begin(now)
		l.end()
		begun++
	}
	is.Equal(begun, 8) // storeLoadShare of the 10 permitted in 5 s
	is.Equal(l.available(now.Add(storeLoadWindow/2)), 0)
	is.True(l.available(now.Add(storeLoadWindow+time.Second)) > 0)
}

// An order is carried out late, after the runner has reported its state. An
// order that was planned before that report must not follow, or the runner
// would load more than its memory holds.
func TestPlanOlderThanReportIsDropped(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	eventually(t, "the report of r1 is in the table", func() bool {
		r, _ := w.view.Runner("r1")
		return r.Orders == 4
	})
	w.controller.mu.Lock()
	s := w.controller.runnerStates["r1"]
	planned := s.epoch
	w.controller.mu.Unlock()
	r, _ := w.view.Runner("r1")

	late := w.engines.runners["r1"]
	w.engines.mu.Lock()
	late.orders, late.models = 5, []string{"a", "b", "late"}
	w.engines.mu.Unlock()
	w.controller.mu.Lock()
	s.querying = true
	w.controller.mu.Unlock()
	w.controller.queryRunner(r, s)

	_, err := w.controller.issueOrder(s, r, swapStep{operation: drscheduler.Load, model: "c", epoch: planned})
	is.True(err != nil)
	is.True(!slices.Contains(w.engines.loadedModels("r1"), "c"))
}

// A slow model has a low request rate, but its requests pile up. It must count
// as busy, so that it gets another replica.
func TestSlowModelCountsAsBusy(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	d := demand{decayedAt: start, averagedAt: start}
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		d.add(0.5, now) // 5 requests per second
		d.averageIn(20, now)
	}
	is.True(d.rate*workPerRequest < 0.2)
	is.True(d.utilization(runningPerRunner) > 0.6)
}

// Guards against a controller that has no rate limits when VMs report before
// its first plan.
func TestNewControllerKnowsLimits(t *testing.T) {
	is := is.New(t)
	clock := drclock.System{}
	view := drfleetview.New(clock)
	d, err := drfleet.NewDeployment(drfleet.Config{Version: 1, Accounts: []drfleet.Account{{Name: "a", Rate: 10, Burst: 10}}})
	is.NoErr(err)
	view.OfferDeployment(d, nil)
	c := NewController(ControllerConfig{Clock: clock, Metrics: drmetric.New(), Holds: func() bool { return false }}, view)
	defer c.Close()
	_, err = c.Reserve("vm", &drpb.FleetReserveRequest{Account: "a", Tokens: 1})
	is.NoErr(err)
}

// Guards against VMs that each take a large part of rates and budgets, because a controller
// that has just begun tells the first ones that they are few, or tells its successor so.
func TestNewControllerKnowsFleetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newControllerFixture(t, func(c *ControllerConfig) { c.Inherited.VMs = 20 })
		report := func() int {
			reply := w.controller.Sync(t.Context(), "vm2", 1, &drpb.FleetSyncRequest{Whole: true})
			return int(reply.GetVms())
		}
		is.Equal(report(), 20)
		is.Equal(w.controller.Handover().VMs, 20)
		time.Sleep(10 * time.Second)
		is.Equal(report(), 1) // the others are gone
		is.Equal(w.controller.Handover().VMs, 1)
	})
}

// Guards against tokens that are spent twice because the time of day differs between two
// controllers, or is set: what VMs spent before the change would count as paid by a time
// without a controller that there was not.
func TestTimeOfDayYieldsNoTokens(t *testing.T) {
	is := is.New(t)
	for _, step := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		age := handoverAge(drlease.Handover{
			Counted: time.Now().Add(-step), LeastAge: 500 * time.Millisecond, MostAge: 600 * time.Millisecond,
		}, time.Now())
		is.True(age >= 500*time.Millisecond)
		is.True(age <= 600*time.Millisecond)
	}
}

// Guards against two VMs whose orders reach runners in turn within seconds, as they do
// when the controller changes there and back: a late order of one could follow a new one
// of the other. A plain change of the controller must not delay loads.
func TestNoOrdersInTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 400 * time.Millisecond
		returned := newControllerFixture(t, func(c *ControllerConfig) {
			c.OrderPause, c.Inherited.RecentHolders = pause, []string{"vm", "other"}
		})
		is.Equal(returned.controller.Handover().RecentHolders, []string{"vm", "other"})
		returned.reportWant("c")
		time.Sleep(pause - time.Millisecond)
		is.Equal(len(returned.engines.sentOrders()), 0)
		eventually(t, "c is loaded after the pause", func() bool { return slices.Contains(returned.engines.loadedModels("r1"), "c") })
		is.Equal(len(returned.controller.Handover().RecentHolders), 0)

		next := newControllerFixture(t, func(c *ControllerConfig) {
			c.OrderPause, c.Inherited.RecentHolders = time.Minute, []string{"other"}
		})
		next.reportWant("c")
		eventually(t, "c is loaded at once", func() bool { return slices.Contains(next.engines.loadedModels("r1"), "c") })
	})
}

// Guards against a forecast of a second for a model that no runner has a copy of, which
// the weight store takes far longer to deliver: requests would wait for it in vain. Copies
// on a draining runner are as good as none.
func TestForecastKnowsWeightStore(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	forecast := func(model string) time.Duration {
		w.controller.mu.Lock()
		defer w.controller.mu.Unlock()
		return w.controller.forecastLoad(drfleetview.Replica{Service: "llm", Model: model}, w.controller.Clock.Now())
	}
	eventually(t, "a model without a copy is expected from the store", func() bool { return forecast("d") >= time.Second })
	is.True(forecast("c") < time.Second)
	r, _ := w.view.Runner("r1")
	drains := *r
	drains.Draining = true
	w.view.OfferRunner(&drains, drfleetview.FromRunner)
	w.controller.requestPlan()
	eventually(t, "a copy on a draining runner does not count", func() bool { return forecast("c") >= time.Second })
}

// Guards against a request that crashes one runner after another because no VM sees
// more than one crash, and against refusing it after it has succeeded.
func TestCrashesOfAllVMsAreRefused(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	request := drrequest.NewFingerprint("account", "POST /pay/", []byte("poison"))
	refused := func(reply *drpb.FleetSyncReply) (requests []drrequest.Fingerprint) {
		for _, b := range decodeBlocks(reply.GetVerdict().GetBlocks()) {
			requests = append(requests, b.Cause)
		}
		return requests
	}
	report := func(vm string, crashes ...string) []drrequest.Fingerprint {
		var report drcrash.Report
		for _, runner := range crashes {
			report.Crashes = append(report.Crashes, drcrash.Crash{Identity: drcrash.Identity{Request: request}, Runner: runner})
		}
		message := &drpb.FleetSyncRequest{CrashReport: encodeCrashes(report)}
		return refused(w.controller.Sync(context.Background(), vm, 1, message))
	}
	is.Equal(len(report("vm1", "r1@1")), 0)
	is.Equal(len(report("vm2", "r1@1", "r2@1")), 0)
	is.Equal(report("vm3", "r1@2"), []drrequest.Fingerprint{request})
	message := &drpb.FleetSyncRequest{CrashReport: encodeCrashes(drcrash.Report{Cleared: []drrequest.Fingerprint{request}})}
	is.Equal(len(refused(w.controller.Sync(context.Background(), "vm1", 1, message))), 0)
}
