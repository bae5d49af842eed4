package drlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// startVMs starts n VMs that have caught up.
func (cluster *testCluster) startVMs(n int) []*testVM {
	cluster.append("a")
	var vs []*testVM
	for i := range n {
		vs = append(vs, cluster.newVM(string(rune('a'+i)), nil))
	}
	for _, v := range vs {
		cluster.run(v)
	}
	for _, v := range vs {
		cluster.waitForOffset(v, 1)
		cluster.waitUntil("fresh", func() bool { return v.freshness.State() == drlog.Fresh })
	}
	return vs
}

// Guards against a VM that serves with withdrawn keys while it is cut off.
func TestAloneCutOffIsIsolated(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	vs := cluster.startVMs(4)
	vs[0].log.setPartitioned(true)
	cluster.network.setPartition("a", 1)
	cluster.advance(drlog.FreshBound + time.Second)
	is.Equal(vs[0].freshness.State(), drlog.Isolated)
	is.Equal(vs[1].freshness.State(), drlog.Fresh)
	cluster.network.setPartition("a", 0) // the log stays out of reach, but peers relay
	cluster.append("b")
	cluster.waitForOffset(vs[0], 2)
	for range 20 {
		cluster.advance(500 * time.Millisecond)
		is.Equal(vs[0].freshness.State(), drlog.Fresh)
	}
}

// Guards against a VM that takes the log for down although peers reach it, when
// it cannot read through them.
func TestPeersReachTheLog(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	vs := cluster.startVMs(4)
	vs[0].log.setPartitioned(true)
	cluster.network.rejectMethod(drlog.MethodFetchRecords)
	cluster.advance(drlog.FreshBound + time.Second)
	for range 10 {
		cluster.advance(500 * time.Millisecond)
		is.Equal(vs[0].freshness.State(), drlog.Isolated)
	}
}

// Guards against a VM that loses its freshness because the log is only slow.
func TestSlowLogStaysFresh(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	v := cluster.startVMs(1)[0]
	cluster.log.mu.Lock()
	cluster.log.delay = 1500 * time.Millisecond
	cluster.log.mu.Unlock()
	for range 80 {
		cluster.advance(250 * time.Millisecond)
		is.Equal(v.freshness.State(), drlog.Fresh)
	}
}

// Guards against a fleet that refuses everything when the log is down for all,
// also for a moment, or that serves without it for ever.
func TestDownForAll(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	vs := cluster.startVMs(4)
	cluster.log.setDown(true)
	for range 40 {
		cluster.advance(250 * time.Millisecond)
		for _, v := range vs {
			is.True(v.freshness.State() != drlog.Isolated)
		}
	}
	for _, v := range vs {
		is.Equal(v.freshness.State(), drlog.LogDown)
	}
	cluster.advance(time.Minute)
	is.Equal(vs[0].freshness.State(), drlog.Isolated) // serve-without-log has passed
	cluster.log.setDown(false)
	for _, v := range vs {
		cluster.waitUntil("fresh again", func() bool { return v.freshness.State() == drlog.Fresh })
	}
}

// Guards against a half of the fleet that takes itself for the majority.
func TestHalfCutOffIsIsolated(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	vs := cluster.startVMs(4)
	for _, v := range vs[:2] {
		v.log.setPartitioned(true)
		cluster.network.setPartition(v.name, 1)
	}
	cluster.advance(drlog.FreshBound + time.Second)
	is.Equal(vs[0].freshness.State(), drlog.Isolated)
	is.Equal(vs[1].freshness.State(), drlog.Isolated)
	is.Equal(vs[2].freshness.State(), drlog.Fresh)
	is.Equal(vs[3].freshness.State(), drlog.Fresh)
	cluster.log.setDown(true) // with the log down for all, half is still no majority
	cluster.advance(drlog.FreshBound + time.Second)
	is.Equal(vs[2].freshness.State(), drlog.Isolated)
	cluster.network.setPartition("a", 0)
	cluster.advance(5 * time.Second)
	is.Equal(vs[2].freshness.State(), drlog.LogDown) // three of four
	is.Equal(vs[1].freshness.State(), drlog.Isolated)
}
