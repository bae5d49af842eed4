package drcontroller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// slowEngine is a runner whose unloads and loads take a time. It counts the orders
// that it gets.
type slowEngine struct {
	unload, load time.Duration
	// lost is the number of next orders whose answer does not arrive. They are
	// carried out after late.
	lost int
	late time.Duration

	mu        sync.Mutex
	models    []string
	accepted  int
	loading   string
	busyUntil time.Time
	got       int
}

// Order implements drscheduler.Engines.
func (e *slowEngine) Order(ctx context.Context, _ *drfleet.Runner, o drscheduler.Order) (drscheduler.Outcome, error) {
	e.mu.Lock()
	lost := e.lost > 0
	e.lost--
	e.mu.Unlock()
	if !lost {
		return e.execute(o), nil
	}
	time.AfterFunc(e.late, func() { e.execute(o) })
	<-ctx.Done()
	return drscheduler.Unknown, ctx.Err()
}

func (e *slowEngine) execute(o drscheduler.Order) drscheduler.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got++
	busy := time.Now().Before(e.busyUntil)
	if !busy && e.loading != "" {
		e.models = append(e.models, e.loading)
		e.loading = ""
	}
	switch {
	case o.Operation == drscheduler.Load && slices.Contains(e.models, o.Model):
		return drscheduler.Holds
	case busy && o.Operation == drscheduler.Load && o.Model == e.loading:
		return drscheduler.Accepted // not counted
	case busy || o.After != e.accepted:
		return drscheduler.Conflicting
	}
	e.accepted++
	if o.Operation == drscheduler.Load {
		e.loading, e.busyUntil = o.Model, time.Now().Add(e.load)
		return drscheduler.Accepted
	}
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	e.busyUntil = time.Now().Add(e.unload)
	return drscheduler.Accepted
}

// received returns the number of orders that arrived.
func (e *slowEngine) received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.got
}

// Report implements drscheduler.Engines.
func (e *slowEngine) Report(context.Context, *drfleet.Runner) (drscheduler.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := drscheduler.Report{Orders: e.accepted, Busy: time.Now().Before(e.busyUntil), OnDisk: []string{"a", "b"}}
	for _, m := range e.models {
		report.Replicas = append(report.Replicas, drfleet.Replica{Model: m})
	}
	return report, nil
}

// newSlowRunner returns a controller of one runner, which holds the model a.
func newSlowRunner(t *testing.T, e *slowEngine) (*Controller, *drfleet.Runner, *runnerState) {
	t.Helper()
	discardLogs()
	e.models = []string{"a"}
	clock := bubbleClock{start: time.Now()}
	view := drfleetview.New(clock)
	runner := &drfleet.Runner{ID: "r1", Service: "llm", Replicas: []drfleet.Replica{{Model: "a"}}}
	view.OfferRunner(runner, drfleetview.FromRunner)
	c := NewController(ControllerConfig{
		Clock: clock, Engines: e, Metrics: drmetric.New(), Holder: "vm", Term: 1, Holds: func() bool { return true },
	}, view)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := newRunnerState(0)
	s.needsReport = false
	c.runnerStates["r1"] = s
	return c, runner, s
}

// swapInTurn swaps a for b, then b for a and so on, and returns the orders that
// the last swap sent and its time.
func swapInTurn(t *testing.T, e *slowEngine, swaps int) (orders int, took time.Duration) {
	t.Helper()
	c, runner, s := newSlowRunner(t, e)
	defer c.Close()
	models := []string{"a", "b"}
	for i := range swaps {
		before, began := e.received(), time.Now()
		swap := drscheduler.Swap{Runner: runner, Unload: models[i%2 : i%2+1], Load: models[1-i%2], Expected: e.load + swapOverhead}
		if err := c.executeSwap(s, swap, s.epoch); err != nil {
			t.Fatalf("swap %d: %v", i, err)
		}
		orders, took = e.received()-before, time.Since(began)
	}
	return orders, took
}

// Guards against a runner that gets an order every few milliseconds while it
// unloads a model, and against a wait that outlasts the unload by much.
func TestFewOrdersWhileUnloading(t *testing.T) {
	const load = 500 * time.Millisecond
	tests := []struct {
		unload         time.Duration
		swaps          int
		maxOrders      int
		maxLostPercent time.Duration // of the unload
	}{
		{5 * time.Millisecond, 1, 4, 500},
		{5 * time.Millisecond, 40, 4, 300},
		{60 * time.Millisecond, 1, 7, 40},
		{60 * time.Millisecond, 60, 4, 40},
		{300 * time.Millisecond, 1, 16, 25},
		{300 * time.Millisecond, 60, 9, 25},
		{3 * time.Second, 1, 34, 7},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s/%d", test.unload, test.swaps), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				orders, took := swapInTurn(t, &slowEngine{unload: test.unload, load: load}, test.swaps)
				t.Logf("%d orders, %s", orders, took)
				if orders > test.maxOrders {
					t.Errorf("%d orders, want %d at most", orders, test.maxOrders)
				}
				if lost, limit := took-load-test.unload, test.unload*test.maxLostPercent/100; lost > limit {
					t.Errorf("%s lost, want %s at most", lost, limit)
				}
			})
		})
	}
}

// Guards against a wait that one slow unload prolongs for the swaps after it.
func TestSlowUnloadIsAnException(t *testing.T) {
	is := is.New(t)
	var w drscheduler.OrderWait
	for range 200 {
		took, refused := max(w.First(), 60*time.Millisecond), 0
		if w.First() < 60*time.Millisecond {
			refused = 1
		}
		w = w.WithResult(took, refused)
	}
	before := w.First()
	is.True(before > 50*time.Millisecond && before < 65*time.Millisecond)
	is.True(w.WithResult(5*time.Second, 30).First()-before < 5*time.Millisecond)
}

// Guards against a controller that takes an order without an answer for refused
// and sends the next one: it must end the swap, so that the runner is asked.
func TestLostAnswerEndsSwap(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &slowEngine{unload: 50 * time.Millisecond, load: 500 * time.Millisecond, lost: 1, late: late}
			c, runner, s := newSlowRunner(t, e)
			swap := drscheduler.Swap{Runner: runner, Unload: []string{"a"}, Load: "b", Expected: e.load + swapOverhead}
			is.True(c.executeSwap(s, swap, s.epoch) != nil)
			time.Sleep(late + time.Millisecond)
			is.Equal(e.received(), 1) // the unload alone, however late
			c.Close()
		})
	}
}

// Loads from the weight store slow each other down. Guards against a load that is
// given up while it goes on, and then planned once more.
func TestLoadMayTakeTwiceAsLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &slowEngine{unload: 50 * time.Millisecond, load: 16 * time.Second}
		c, runner, s := newSlowRunner(t, e)
		defer c.Close()
		swap := drscheduler.Swap{Runner: runner, Unload: []string{"a"}, Load: "b", Expected: 8*time.Second + swapOverhead}
		is.NoErr(c.executeSwap(s, swap, s.epoch))
		is.True(e.received() < 60)
	})
}
