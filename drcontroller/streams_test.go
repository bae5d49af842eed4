package drcontroller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drversion"
)

// streamTimes are bounds on how far beginnings of streams spread, as callers count on them.
const (
	// copiedWithin is the time within which other VMs than the controller's know of a stream: a
	// report and a reply.
	copiedWithin = 2 * maxSyncWait
	// takeUpTime is how long a stream that is taken up may wait for its version.
	takeUpTime = 3 * time.Second
)

// newStreamFleet starts a fleet of VMs in zones while runners of three software versions serve.
func newStreamFleet(zones ...string) *testFleet {
	f := newTestFleet(0)
	for i, zone := range zones {
		f.startIn(zone, fmt.Sprint("vm-", i), 1)
	}
	for _, runner := range []string{"r@v1", "s@v2", "t@v3"} {
		f.store.Put(drstore.Runners, runner, []byte("x"))
	}
	time.Sleep(5 * time.Second)
	return f
}

// beginStreams has count streams begin at each VM, in its name, and returns their keys.
func (f *testFleet) beginStreams(count int) map[string][]drversion.Key {
	keys := make(map[string][]drversion.Key)
	for name, n := range f.nodes {
		for i := range count {
			key := drversion.KeyOf("", fmt.Sprint(name, "-", i))
			keys[name] = append(keys[name], key)
			n.View.RecordStream(drversion.Beginning{Key: key, Version: "v2"})
		}
	}
	return keys
}

// knows reports whether a VM learns at which version a stream began.
func (n *testNode) knows(key drversion.Key) bool {
	if version, known := n.View.StreamVersion(key); known {
		return version == "v2"
	}
	version, found, _ := n.AskStream(context.Background(), key)
	return found && version == "v2"
}

// unknown counts the streams whose version a VM does not learn.
func (n *testNode) unknown(keys map[string][]drversion.Key) int {
	count := 0
	for _, ks := range keys {
		for _, key := range ks {
			if !n.knows(key) {
				count++
			}
		}
	}
	return count
}

// others returns the VMs that are not the controller's, by name.
func (f *testFleet) others() []*testNode {
	var others []*testNode
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		if f.nodes[name] != f.controllers()[0] {
			others = append(others, f.nodes[name])
		}
	}
	return others
}

// Guards against streams that only the controller and their own VM remember: those of a VM that
// ends at the same moment as the controller's were not taken up.
func TestStreamsOutliveControllerAndAnotherVM(t *testing.T) {
	for i := range 4 {
		t.Run(fmt.Sprint("other-", i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStreamFleet("a", "a", "a", "a", "a")
				defer f.close()
				keys := f.beginStreams(20)
				time.Sleep(copiedWithin)
				others := f.others()
				f.controllers()[0].partition()
				others[i].partition()
				time.Sleep(takeUpTime)
				for _, n := range slices.Delete(others, i, i+1) {
					is.Equal(n.unknown(keys), 0) // streams whose version is not learned
				}
			})
		})
	}
}

// Guards against copies of streams that are all in the availability zone of the controller.
func TestStreamsOutliveZoneOfController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a")
		defer f.close()
		for i, zone := range []string{"b", "b", "c", "c"} {
			f.startIn(zone, fmt.Sprint("later-", i), 1)
		}
		time.Sleep(5 * time.Second)
		keys := f.beginStreams(20)
		time.Sleep(copiedWithin)
		zone := f.controllers()[0].Zone
		for _, n := range f.nodes {
			if n.Zone == zone {
				n.partition()
			}
		}
		time.Sleep(takeUpTime)
		for _, n := range f.nodes {
			if n.Zone != zone {
				is.Equal(n.unknown(keys), 0) // streams whose version is not learned
			}
		}
	})
}

// Guards against copies of streams that have a gap: replies that bring them are lost, or given up
// by their VM as requests begin to wait for a model there.
func TestLostReplyLeavesNoGapInCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a")
		defer f.close()
		keys := make(map[string][]drversion.Key)
		for round := range 10 {
			for name, n := range f.nodes {
				key := drversion.KeyOf("", fmt.Sprint(name, "-", round))
				keys[name] = append(keys[name], key)
				n.View.RecordStream(drversion.Beginning{Key: key, Version: "v2"})
			}
			f.setReplyLoss(round < 9)
			time.Sleep(350 * time.Millisecond)
			f.setReplyLoss(false)
			time.Sleep(maxSyncWait)
		}
		time.Sleep(copiedWithin)
		others := f.others()
		f.controllers()[0].partition()
		others[0].partition()
		time.Sleep(takeUpTime)
		is.Equal(others[1].unknown(keys), 0) // streams whose version is not learned
	})
}

// Guards against a VM that starts again under its name and counts as one that still has its copy.
func TestRestartedVMHasNoCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a")
		defer f.close()
		keys := f.beginStreams(20)
		time.Sleep(copiedWithin)
		first := f.controllers()[0]
		for _, n := range f.others() {
			n.Close()
			f.startIn(n.Zone, n.name, 1)
		}
		time.Sleep(copiedWithin)
		first.partition()
		time.Sleep(takeUpTime)
		for _, n := range f.others() {
			if n != first {
				is.Equal(n.unknown(keys), 0) // streams whose version is not learned
			}
		}
	})
}

// Guards against a controller that names itself settled while VMs still tell it of a minute's
// streams, and against copies that fall behind for good: more streams begin than one message
// names, up to all that are remembered.
func TestManyStreamsOutliveController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a", "a")
		defer f.close()
		keys := f.beginStreams(15000)
		time.Sleep(copiedWithin)
		others := f.others()
		f.controllers()[0].partition()
		others[0].partition()
		time.Sleep(takeUpTime)
		is.Equal(others[1].unknown(keys), 0) // streams whose version is not learned
	})
}

// Guards against streams that are not taken up while the store is away, although the VM that led
// knows of them.
func TestStreamsAreKnownWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a", "a", "a", "a")
		defer f.close()
		keys := f.beginStreams(20)
		time.Sleep(copiedWithin)
		f.mu.Lock()
		f.outageUntil = time.Now().Add(20 * time.Second)
		f.mu.Unlock()
		for range 4 {
			time.Sleep(4 * time.Second)
			for _, n := range f.nodes {
				is.Equal(n.unknown(keys), 0) // streams whose version is not learned
			}
		}
	})
}

// Guards against a VM that has streams wait for another controller although it is cut off, and
// against one that does not while there is none.
func TestOnlyVMThatReachesStoreAwaitsController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a", "a")
		defer f.close()
		others := f.others()
		cut, awaiting := others[0], 0
		f.controllers()[0].partition()
		cut.partition()
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			is.True(!cut.AwaitsController())
			for _, n := range others[1:] {
				if _, reached := n.Leader(); !reached && n.AwaitsController() {
					awaiting++
				}
				if _, reached := n.Leader(); reached {
					is.True(!n.AwaitsController())
				}
			}
		}
		is.True(awaiting > 0)
	})
}

// Guards against newer streams that are forgotten before older ones, at the controller, at the VMs
// that keep copies and at the next controller, where more begin in a minute than are remembered.
func TestOldestStreamsAreForgottenFirst(t *testing.T) {
	const (
		perSecond = 1000 // streams at each VM
		seconds   = 20
		kept      = 10 // seconds whose streams all have room
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStreamFleet("a", "a", "a", "a", "a")
		defer f.close()
		newest := make(map[string][]drversion.Key)
		for second := range seconds {
			for name, n := range f.nodes {
				for i := range perSecond {
					key := drversion.KeyOf("", fmt.Sprint(name, "-", second, "-", i))
					n.View.RecordStream(drversion.Beginning{Key: key, Version: "v2"})
					if second >= seconds-kept {
						newest[name] = append(newest[name], key)
					}
				}
			}
			time.Sleep(time.Second)
		}
		time.Sleep(copiedWithin)
		others := f.others()
		is.Equal(others[3].unknown(newest), 0) // streams whose version is not learned
		f.controllers()[0].partition()
		others[0].partition()
		time.Sleep(takeUpTime)
		is.Equal(others[3].unknown(newest), 0) // streams whose version is not learned
	})
}
