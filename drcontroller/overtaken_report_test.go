package drcontroller

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// overtakenReport returns the report of a VM that has begun and charged a number of requests.
func overtakenReport(number, requests uint64, running uint32) *drpb.FleetSyncRequest {
	return &drpb.FleetSyncRequest{
		Number: number, Term: 9, Uses: []*drpb.FleetUse{{Runner: "r1", Succeeded: requests, Replicas: []*drpb.FleetReplicaUse{
			{Model: "a", Running: running, Requests: requests},
		}}},
		Spendings: []*drpb.FleetSpending{{Account: "x", Spent: float64(requests), Requested: float64(requests)}},
	}
}

// heardOf is what a controller takes from reports.
type heardOf struct {
	level, demand float64
	running       int
}

// hear plays the reports of processes of a VM to a new controller, a quarter of a second
// apart. late ones come right after the third.
func hear(t *testing.T, late ...*drpb.FleetSyncRequest) (heard heardOf) {
	synctest.Test(t, func(t *testing.T) {
		c := newControllerFixture(t).controller
		c.pool.SetLimits(map[string]drtokenpool.Limit{"x": {Rate: 0.001, Burst: 1000}})
		for _, report := range []*drpb.FleetSyncRequest{overtakenReport(1, 10, 1), overtakenReport(2, 20, 2), overtakenReport(4, 40, 0)} {
			c.Sync(context.Background(), "vm-a", 2, report)
			time.Sleep(250 * time.Millisecond)
		}
		for i, report := range late {
			c.Sync(context.Background(), "vm-a", 2-uint64(i), report)
		}
		c.Sync(context.Background(), "vm-a", 2, &drpb.FleetSyncRequest{Number: 5, Term: 9, Spendings: overtakenReport(5, 40, 0).GetSpendings()})
		c.mu.Lock()
		defer c.mu.Unlock()
		heard = heardOf{c.pool.Levels()["x"], math.Round(c.demands[drscheduler.Demand{Model: "a"}].rate), c.running.byRunner["r1"]}
	})
	return heard
}

// Guards against client accounts that are charged twice, demand that never was, and runners
// that count as busy, because a report that its VM had given up arrives after the next one,
// or one of the VM's former process after those of the present one.
func TestOvertakenReportChangesNothing(t *testing.T) {
	is := is.New(t)
	want := hear(t)
	is.Equal(hear(t, overtakenReport(3, 30, 5)), want)
	is.Equal(hear(t, overtakenReport(3, 30, 5), overtakenReport(900, 500, 7)), want)
}

// Guards against a VM that has no controller for seconds after its restart, because its clock
// was set back and its reports count as those of a former process.
func TestProcessWithLowerIncarnationIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), context.Background()
		c := newControllerFixture(t).controller
		is.True(c.Sync(ctx, "vm-a", 2, overtakenReport(1, 10, 1)).GetLeading())
		time.Sleep(maxSyncWait)
		is.True(!c.Sync(ctx, "vm-a", 1, overtakenReport(1, 10, 1)).GetLeading())
		time.Sleep(syncReplyTimeout)
		is.True(c.Sync(ctx, "vm-a", 1, overtakenReport(2, 10, 1)).GetLeading())
		is.True(c.Sync(ctx, "vm-a", 1, overtakenReport(3, 20, 1)).GetLeading())
	})
}
