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

// Guards against falling back to an older configuration, or to an earlier
// confirmation of it, when a message with that one arrives late.
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

// Guards against a description that a runner wrote before it carried out an
// order and that arrives afterwards: it must not undo the order's outcome, but
// count as a contradiction until the runner's descriptions agree.
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

// Guards against sending requests to a runner for models that it lost by a
// restart under the same ID, and against late descriptions of its former
// incarnation.
func TestRestartForgets(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	v.OfferRunner(withOrders(ownDescription(5, 1, "m1"), 3), drfleetview.FromController)
	v.OfferRunner(ownDescription(1, 2), drfleetview.FromRunner)
	is.Equal(len(v.Candidates(m1)), 0)
	is.True(!v.OfferRunner(ownDescription(6, 1, "m1"), drfleetview.FromRunner))
	is.True(!v.OfferRunner(withOrders(ownDescription(6, 1, "m1"), 4), drfleetview.FromController))
}

// Guards against sending requests to a draining runner, also after a late
// description that says it is not draining.
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

// Guards against sending request after request to a runner that answered that it
// does not hold the model, although the table still lists it there.
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

// Guards against a plain service without candidates because all its runners were
// just unreachable: they must be tried until a reachable one is listed.
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

// Guards against avoiding a runner for ever after failures: as it gets no
// requests, no success could lower its share of failures.
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

// Guards against changes, removals included, that a report between two revisions
// leaves out, and against reporting descriptions that repeat what is known.
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

// Guards against a summary of waiting requests that is led by an objective
// already missed instead of the next that can still be met, and against one that
// stays after the last request has stopped waiting.
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

// Guards against reports that repeat every replica that the VM has ever used,
// and against reports that leave out that a request has ended.
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
