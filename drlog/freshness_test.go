package drlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// startVMs starts n VMs named a, b, ... and waits until all are fresh.
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

// Guards against a VM that keeps serving with withdrawn keys while it reaches
// neither the log nor its peers. With peers in reach again it must be fresh through
// them, although it still cannot read the log.
func TestAloneCutOffIsIsolated(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	vs := cluster.startVMs(4)
	vs[0].log.setPartitioned(true)
	cluster.network.setPartition("a", 1)
	cluster.advance(drlog.FreshBound + time.Second)
	is.Equal(vs[0].freshness.State(), drlog.Isolated)
	is.Equal(vs[1].freshness.State(), drlog.Fresh)
	cluster.network.setPartition("a", 0) // the VM still cannot read the log, but its peers relay
	cluster.append("b")
	cluster.waitForOffset(vs[0], 2)
	for range 20 {
		cluster.advance(500 * time.Millisecond)
		is.Equal(vs[0].freshness.State(), drlog.Fresh)
	}
}

// Guards against a VM that reports log-down although its peers still read the log.
// It learns this from their status only, because fetching records through them
// fails.
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

// Guards against a VM that stops being fresh because each read from the log takes
// 1.5 s longer than it should.
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

// Guards against VMs that report isolated, even for a moment, when the log is down
// for all of them, and so refuse all calls, and against VMs that never stop serving
// without the log.
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
	is.Equal(vs[0].freshness.State(), drlog.Isolated) // down for longer than ServeWithoutLog
	cluster.log.setDown(false)
	for _, v := range vs {
		cluster.waitUntil("fresh again", func() bool { return v.freshness.State() == drlog.Fresh })
	}
}

// Guards against counting exactly half of the members as a majority: after a
// partition into halves, neither half may report log-down.
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
	cluster.log.setDown(true) // the log is down for all, but half is still no majority
	cluster.advance(drlog.FreshBound + time.Second)
	is.Equal(vs[2].freshness.State(), drlog.Isolated)
	cluster.network.setPartition("a", 0)
	cluster.advance(5 * time.Second)
	is.Equal(vs[2].freshness.State(), drlog.LogDown) // reaches three of four
	is.Equal(vs[1].freshness.State(), drlog.Isolated)
}
