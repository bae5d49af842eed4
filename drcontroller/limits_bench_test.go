package drcontroller

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// The target size of docs/design.md, the models that requests of each VM wait for, and a
// start of runners as long as those of today.
const (
	targetVMs     = 410
	targetRunners = 3700
	targetModels  = 240
	wantsOfVM     = 10
	targetStart   = 1_796_000_000_000
)

// newLimitedController returns a controller of a fleet of the target size, some of whose
// runners have named a limit, and a report of a VM whose requests wait for models.
func newLimitedController(limited int) (*Controller, *drpb.FleetSyncRequest) {
	clock := drclock.System{}
	v := drfleetview.New(clock)
	c := &Controller{ControllerConfig: ControllerConfig{Term: 1, Clock: clock, Holds: func() bool { return true }}, view: v,
		vms: make(map[string]*vm), warmups: drwarmup.NewBudget(clock.Uptime())}
	results := make(map[string]resultCounters)
	for i := range targetRunners {
		r := tableRunner(i, fmt.Sprintf("m%d", i%targetModels))
		r.Started = targetStart + int64(i)
		v.OfferRunner(r, drfleetview.FromRunner)
		results[r.ID] = resultCounters{}
		if i < limited {
			v.OfferLimit(drfleetview.IncarnationOf(r), 2.5, clock.Uptime())
		}
	}
	var wants []*drpb.FleetWant
	for i := range wantsOfVM {
		wants = append(wants, &drpb.FleetWant{Replica: &drpb.FleetReplica{Service: "llm", Model: fmt.Sprintf("m%d", i)}, Waiting: 2})
	}
	for i := range targetVMs {
		w := newVM(1)
		w.lastReportAt, w.wants, w.resultsByRunner = clock.Now(), wants, results
		c.vms[fmt.Sprintf("vm-%d", i)] = w
	}
	return c, &drpb.FleetSyncRequest{Term: 1, Wants: wants, Limits: encodeLimits(v.Limits())}
}

// BenchmarkLimits measures what the limits of runners cost a VM and the controller for each
// report, and with part=bytes how long they make a report and its reply.
func BenchmarkLimits(b *testing.B) {
	log.SetLevel(log.WarnLevel)
	defer log.SetLevel(log.InfoLevel)
	for _, limited := range []int{0, 1, 30, 370} {
		c, request := newLimitedController(limited)
		for _, part := range []struct {
			name string
			run  func()
		}{
			{"collect", func() { encodeLimits(c.view.Limits()) }},
			{"reply", func() { c.fillLimits("vm-0", request, new(drpb.FleetSyncReply)) }},
			{"permits", func() { c.givePermits(b.Context(), "vm-0", request, c.Clock.Uptime()) }},
			{"recheck", func() {
				_, stop := c.recheckPermits(request)
				stop()
				c.canGivePermits(request)
			}},
			{"forecast", func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				for _, w := range request.GetWants() {
					c.forecastPermits(w, c.Clock.Now())
				}
			}},
		} {
			b.Run(fmt.Sprintf("part=%s/limited=%d", part.name, limited), func(b *testing.B) {
				for b.Loop() {
					part.run()
				}
			})
		}
		b.Run(fmt.Sprintf("part=bytes/limited=%d", limited), func(b *testing.B) {
			reply := new(drpb.FleetSyncReply)
			for b.Loop() {
				reply = new(drpb.FleetSyncReply)
				c.fillLimits("vm-0", request, reply)
			}
			b.ReportMetric(float64(proto.Size(&drpb.FleetSyncRequest{Limits: request.GetLimits()})), "B/report")
			b.ReportMetric(float64(proto.Size(&drpb.FleetSyncReply{Limits: reply.GetLimits()})), "B/reply")
		})
	}
}
