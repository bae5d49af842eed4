package drlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// fleet starts n VMs that have caught up.
func (w *world) fleet(n int) []*vm {
	w.append("a")
	var vs []*vm
	for i := range n {
		vs = append(vs, w.vm(string(rune('a'+i)), nil))
	}
	for _, v := range vs {
		w.run(v)
	}
	for _, v := range vs {
		w.caughtUp(v, 1)
		w.until("fresh", func() bool { return v.freshness.State() == drlog.Fresh })
	}
	return vs
}

// Guards against a VM that serves with withdrawn keys while it is cut off.
func TestAloneCutOffIsIsolated(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	vs := w.fleet(4)
	vs[0].log.set(true)
	w.mesh.group("a", 1)
	w.pass(drlog.FreshBound + time.Second)
	is.Equal(vs[0].freshness.State(), drlog.Isolated)
	is.Equal(vs[1].freshness.State(), drlog.Fresh)
	w.mesh.group("a", 0) // the log stays out of reach, but peers relay
	w.append("b")
	w.caughtUp(vs[0], 2)
	for range 20 {
		w.pass(500 * time.Millisecond)
		is.Equal(vs[0].freshness.State(), drlog.Fresh)
	}
}

// Guards against a VM that takes the log for down although peers reach it, when
// it cannot read through them.
func TestPeersReachTheLog(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	vs := w.fleet(4)
	vs[0].log.set(true)
	w.mesh.refuse(drlog.MethodFetchRecords)
	w.pass(drlog.FreshBound + time.Second)
	for range 10 {
		w.pass(500 * time.Millisecond)
		is.Equal(vs[0].freshness.State(), drlog.Isolated)
	}
}

// Guards against a VM that loses its freshness because the log is only slow.
func TestSlowLogStaysFresh(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	v := w.fleet(1)[0]
	w.log.mu.Lock()
	w.log.delay = 1500 * time.Millisecond
	w.log.mu.Unlock()
	for range 80 {
		w.pass(250 * time.Millisecond)
		is.Equal(v.freshness.State(), drlog.Fresh)
	}
}

// Guards against a fleet that refuses everything when the log is down for all,
// also for a moment, or that serves without it for ever.
func TestDownForAll(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	vs := w.fleet(4)
	w.log.set(true)
	for range 40 {
		w.pass(250 * time.Millisecond)
		for _, v := range vs {
			is.True(v.freshness.State() != drlog.Isolated)
		}
	}
	for _, v := range vs {
		is.Equal(v.freshness.State(), drlog.LogDown)
	}
	w.pass(time.Minute)
	is.Equal(vs[0].freshness.State(), drlog.Isolated) // serve-without-log has passed
	w.log.set(false)
	for _, v := range vs {
		w.until("fresh again", func() bool { return v.freshness.State() == drlog.Fresh })
	}
}

// Guards against a half of the fleet that takes itself for the majority.
func TestHalfCutOffIsIsolated(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	vs := w.fleet(4)
	for _, v := range vs[:2] {
		v.log.set(true)
		w.mesh.group(v.name, 1)
	}
	w.pass(drlog.FreshBound + time.Second)
	is.Equal(vs[0].freshness.State(), drlog.Isolated)
	is.Equal(vs[1].freshness.State(), drlog.Isolated)
	is.Equal(vs[2].freshness.State(), drlog.Fresh)
	is.Equal(vs[3].freshness.State(), drlog.Fresh)
	w.log.set(true) // with the log down for all, half is still no majority
	w.pass(drlog.FreshBound + time.Second)
	is.Equal(vs[2].freshness.State(), drlog.Isolated)
	w.mesh.group("a", 0)
	w.pass(5 * time.Second)
	is.Equal(vs[2].freshness.State(), drlog.LogDown) // three of four
	is.Equal(vs[1].freshness.State(), drlog.Isolated)
}
