package drfleetview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

var m1 = drfleetview.Replica{Service: "llm", Model: "m1"}

func ownDescription(beat int, started int64, models ...string) *drfleet.Runner {
	r := &drfleet.Runner{ID: "r1", Service: "llm", Address: "10.0.0.1:80", Started: started, Beat: beat}
	for _, m := range models {
		r.Replicas = append(r.Replicas, drfleet.Replica{Model: m})
	}
	return r
}

func withOrders(r *drfleet.Runner, orders int) *drfleet.Runner {
	c := *r
	c.Orders = orders
	return &c
}

func newView() (*drfleetview.View, *drclock.Fake) {
	clock := drclock.NewFake(time.Unix(100, 0))
	return drfleetview.New(clock), clock
}

func deployment(t *testing.T, version int64) *drfleet.Deployment {
	d, err := drfleet.NewDeployment(drfleet.Config{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a configuration that reverts when an older record or relay
// arrives late.
func TestDeploymentNeverReverts(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	is.True(v.OfferDeployment(deployment(t, 7), nil))
	is.True(!v.OfferDeployment(deployment(t, 5), nil))
	d, _ := v.Deployment()
	is.Equal(d.Version, int64(7))

	v.ConfirmDeployment(clock.Uptime())
	v.ConfirmDeployment(clock.Uptime() - 10*time.Second) // a late answer
	clock.Suspend(4 * time.Second)
	_, age := v.Deployment()
	is.Equal(age, 4*time.Second) // time suspended counts
}

// Guards against an entry that a runner wrote before an order was carried out:
// it must not undo the outcome of the order.
func TestDescriptionDoesNotUndoOrder(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	v.OfferRunner(ownDescription(1, 1, "m2"), drfleetview.FromRunner)
	v.OfferRunner(withOrders(ownDescription(1, 1, "m1"), 2), drfleetview.FromController)
	v.OfferRunner(ownDescription(2, 1, "m2"), drfleetview.FromRunner)
	is.Equal(len(v.Candidates(m1)), 1)
	is.True(v.Contradicted("r1"))
	v.OfferRunner(ownDescription(3, 1, "m1"), drfleetview.FromRunner)
	is.True(!v.Contradicted("r1"))
}

// Guards against orders to a runner that restarted under its ID and holds
// nothing, and against entries of its former incarnation that come late.
func TestRestartForgets(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	v.OfferRunner(withOrders(ownDescription(5, 1, "m1"), 3), drfleetview.FromController)
	v.OfferRunner(ownDescription(1, 2), drfleetview.FromRunner)
	is.Equal(len(v.Candidates(m1)), 0)
	is.True(!v.OfferRunner(ownDescription(6, 1, "m1"), drfleetview.FromRunner))
	is.True(!v.OfferRunner(withOrders(ownDescription(6, 1, "m1"), 4), drfleetview.FromController))
}

// Guards against requests at runners that leave, and against a late entry that
// says that they do not.
func TestDrainingStays(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	d := ownDescription(2, 1, "m1")
	d.Draining = true
	v.OfferRunner(ownDescription(1, 1, "m1"), drfleetview.FromRunner)
	v.OfferRunner(d, drfleetview.FromRunner)
	v.OfferRunner(ownDescription(2, 1, "m1"), drfleetview.FromRunner)
	is.Equal(len(v.Candidates(m1)), 0)
}

// Guards against sending request after request to a runner that does not hold
// the model, until the table says otherwise.
func TestMissingReplicaIsAvoided(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	r := ownDescription(1, 1, "m1")
	v.OfferRunner(r, drfleetview.FromRunner)
	v.Begin(r, m1).End(drfleetview.Missing)
	is.Equal(len(v.Candidates(m1)), 0)
	is.True(v.Uses(true)[0].Replicas[0].Missing)
	clock.Advance(time.Second)
	is.Equal(len(v.Candidates(m1)), 1)
}

// Guards against a service that is emptied because its last runners took no
// connection.
func TestUnreachableRunnersServeAlone(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	r := &drfleet.Runner{ID: "p1", Service: "app"}
	app := drfleetview.Replica{Service: "app"}
	v.OfferRunner(r, drfleetview.FromRunner)
	v.Begin(r, app).End(drfleetview.Unreachable)
	is.Equal(len(v.Candidates(app)), 1)
	v.OfferRunner(&drfleet.Runner{ID: "p2", Service: "app"}, drfleetview.FromRunner)
	is.Equal(len(v.Candidates(app)), 1)
	is.Equal(v.Candidates(app)[0].Runner.ID, "p2")
}

// Guards against failures that weigh for ever.
func TestFailuresFade(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	r := ownDescription(1, 1, "m1")
	v.OfferRunner(r, drfleetview.FromRunner)
	for range 10 {
		v.Begin(r, m1).End(drfleetview.Failed)
	}
	is.True(v.Candidates(m1)[0].Failing > 0.5)
	clock.Advance(15 * time.Second)
	is.Equal(v.Candidates(m1)[0].Failing, 0.0)
}

// Guards against changes that a VM misses between two reports.
func TestChangesSinceRevision(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	v.OfferRunner(ownDescription(1, 1, "m1"), drfleetview.FromRunner)
	changes, first := v.Changes(0)
	is.Equal(len(changes), 1)
	v.OfferRunner(ownDescription(2, 1, "m1"), drfleetview.FromRunner) // says the same
	changes, _ = v.Changes(first)
	is.Equal(len(changes), 0)
	v.RemoveRunner("r1")
	changes, _ = v.Changes(first)
	is.Equal(len(changes), 1)
	is.True(changes[0].Gone)
}

// Replays requests that wait for one model: the summary names the objective
// that can still be met, and ends with the last of them.
func TestWantSummary(t *testing.T) {
	is := is.New(t)
	v, clock := newView()
	now := clock.Now()
	late := v.AddWaiter(m1, now.Add(-time.Second), now.Add(5*time.Second), 2)
	timely := v.AddWaiter(m1, now.Add(time.Second), now.Add(3*time.Second), 1)
	demand := v.DemandSummaries()
	is.Equal(len(demand), 1)
	is.Equal(demand[0].Waiting, 2)
	is.Equal(demand[0].ObjectiveLeft, time.Second)
	is.Equal(demand[0].DeadlineLeft, 5*time.Second)
	is.Equal(demand[0].Urgency, 1)
	late.Close()
	timely.Close()
	is.Equal(len(v.DemandSummaries()), 0)
}

// Guards against reports that repeat everything a VM ever ran, and against one
// that leaves out what has ended.
func TestUsesNamesWhatChanged(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	r := ownDescription(1, 1, "m1")
	v.OfferRunner(r, drfleetview.FromRunner)
	u := v.Begin(r, m1)
	is.Equal(v.Uses(false)[0].Replicas[0].Running, 1)
	is.Equal(len(v.Uses(false)), 0)
	u.End(drfleetview.Succeeded)
	is.Equal(v.Uses(false)[0].Replicas[0].Running, 0)
	is.Equal(len(v.Uses(false)), 0)
	is.Equal(v.Uses(true)[0].Replicas[0].Requests, uint64(1))
}
