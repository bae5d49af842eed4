package drplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// stubView is a drmember.View with fixed members, of which one VM is gone.
type stubView struct {
	drmember.View
	members []drmember.Member
	goneVM  string
}

func (v stubView) Members() []drmember.Member { return v.members }
func (v stubView) Gone(vm string) bool        { return vm == v.goneVM }

// Guards against a VM that takes over a runner because it has not discovered
// the owner yet. With engines that do not check fencing tokens, each such
// takeover blocks the runner for 11 s, and first cold starts took that long.
func TestUnknownOwnerIsNotLost(t *testing.T) {
	is := is.New(t)
	f := newVMStates(stubView{goneVM: "old", members: []drmember.Member{
		{VM: "a", State: drmember.Alive}, {VM: "b", State: drmember.Unreachable}, {VM: "c", State: drmember.Leaving},
	}})
	is.True(!f.failed("unknown") && !f.present.Has("unknown"))
	is.True(!f.failed("a") && f.present.Has("a"))
	is.True(f.failed("b") && !f.present.Has("b"))
	is.True(!f.failed("c") && f.present.Has("c"))
	is.True(f.failed("old"))
}

// Guards against runners that are never taken over because no VM has ever
// discovered their owner.
func TestUnknownOwnerIsReplacedInTheEnd(t *testing.T) {
	c := newCluster(2, 1, true)
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		time.Sleep(time.Second)
		v := c.owner("r0")
		is.True(v != nil)
		v.kill()
		c.mu.Lock()
		delete(c.vms, v.member.VM)
		c.mu.Unlock()
		c.waitUntilSettled()
		is.True(c.owner("r0") != nil) // owner returns nil for a VM that was removed from the cluster
	})
}

// Guards against runners that stay without an owner because their VM has
// restarted and cannot claim them, for instance because it is cut off from the
// log.
func TestRestartedOwnerIsReplacedIfItDoesNotClaim(t *testing.T) {
	c := newCluster(3, 1, false)
	c.setModel("m", 4, 1, 1)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		time.Sleep(time.Second)
		old := c.fullLedger.Owner("r0")
		v := c.owner("r0")
		v.kill()
		c.mu.Lock()
		v.stopped = false // the new process is reachable but appends nothing
		v.member.Incarnation++
		c.mu.Unlock()
		c.waitUntilSettled()
		is.True(c.fullLedger.Owner("r0").VM != old.VM)
		c.mu.Lock()
		v.stopped = true
		c.mu.Unlock()
	})
}

// Guards against a second replica, or a load on another runner, when the first
// Wake call arrives before the owner of the runner has read the grant.
func TestWakeWaitsForTheGrant(t *testing.T) {
	c := newCluster(3, 3, true)
	c.setModel("m", 4, 0, 2)
	c.run(t, func(t *testing.T) {
		is := is.New(t)
		c.startAll()
		c.waitUntilSettled()
		for name := range c.vms {
			_, err := c.vms[name].placement.owner.wake(t.Context(), &drpb.PlacementWake{Runner: c.fullLedger.Runners()[0], Model: "m"})
			if err != nil {
				is.True(drerror.ReasonOf(err) != drerror.NoCapacity)
			}
		}
		for range 5 {
			for name := range c.vms {
				_, err := c.wake(name, "m", "", 20*time.Second)
				is.NoErr(err)
			}
		}
		is.Equal(c.loadsOf("m"), 1)
	})
}
