package drserve

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// idleSamplePeriod is how often measureIdleAccelerators checks for idle runners.
// Engines report their load at least this often.
const idleSamplePeriod = time.Second

// registerMetrics registers the metrics whose values are read when the metrics page
// is requested.
func (v *VM) registerMetrics() {
	m, start := v.metrics, v.Clock.Now()
	m.GaugeFunc(drmetric.Queued, func() int64 { n, _ := v.queues.queued(); return int64(n) })
	m.GaugeFunc(drmetric.QueuedBytes, func() int64 { _, b := v.queues.queued(); return b })
	for _, f := range v.followers {
		m.GaugeFunc(drmetric.FollowerLag, func() int64 { return int64(v.Clock.Since(laterOf(f.Confirmed(), start))) }, f.Stream())
		m.GaugeFunc(drmetric.FollowerOffset, func() int64 { return int64(f.Offset()) }, f.Stream())
	}
	m.GaugeFunc(drmetric.ConfigOffset, func() int64 { return int64(v.config.Current().Offset()) })
	for _, s := range []drmember.State{drmember.Alive, drmember.Suspect, drmember.Unreachable, drmember.Leaving} {
		m.GaugeFunc(drmetric.Peers, func() int64 { return v.countMembers(s) }, s.String())
	}
	m.CounterFunc(drmetric.PeerBytes, v.peerTraffic.Sent, "sent")
	m.CounterFunc(drmetric.PeerBytes, v.peerTraffic.Received, "received")
	m.GaugeFunc(drmetric.CallerConnections, func() int64 {
		if !v.started.Load() {
			return 0
		}
		return int64(v.callerListener.Connections())
	})
	m.CounterFunc(drmetric.TimelineOverwrites, v.eventRing.Overwritten)
	m.RegisterProcess()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countMembers returns how many other entry VMs are in the given state.
func (v *VM) countMembers(state drmember.State) int64 {
	var n int64
	for _, m := range v.members.Members() {
		if m.State == state && m.VM != v.Settings.VM {
			n++
		}
	}
	return n
}

// measureIdleAccelerators counts the time in which runners that this VM owns have a
// model loaded and run nothing.
func (v *VM) measureIdleAccelerators(ctx context.Context) {
	idle, last := v.metrics.Counter(drmetric.IdleAccelerator), v.Clock.Now()
	for v.Clock.Sleep(ctx, idleSamplePeriod) == nil {
		now := v.Clock.Now()
		for _, r := range v.placement.Owned() {
			if len(r.Loaded) > 0 && r.Running == 0 {
				idle.Inc(int64(now.Sub(last)))
			}
		}
		last = now
	}
}

// instrumentedFold is the configuration of a VM that also counts and records the
// changes that it applies.
type instrumentedFold struct {
	*drconfig.Fold
	vm *VM
}

// Apply implements drlog.Folder.
func (f *instrumentedFold) Apply(record drlog.Record) {
	before := f.Current().Offset()
	f.Fold.Apply(record)
	result := "rejected" // repeats of an earlier change count as rejected too
	if after := f.Current().Offset(); after != before {
		result = "accepted"
		f.vm.events.Record(drtimeline.Event{Name: drtimeline.ConfigApplied, Detail: fmt.Sprintf("offset=%d", after)})
	}
	f.vm.metrics.Counter(drmetric.ConfigChanges, result).Inc(1)
}
