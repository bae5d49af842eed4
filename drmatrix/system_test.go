package drmatrix

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drsettings"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// Bounds from the design: a change is in force, a withdrawn key is refused, and a
// new VM is ready within these times.
const (
	inForceBound  = 13 * time.Second // I13
	withdrawBound = 5 * time.Second  // I6
	joinBound     = 5 * time.Second  // design section 3.1
)

const (
	callerKey    = "drk_demo_passasjer-app"
	poisonPrompt = "crash-the-engine"
)

// system is a cluster of three entry VMs with its stand-ins. mu guards the maps:
// logLinks by VM, the blocked directions between VMs as pairs of sender and
// receiver, and the VMs that were closed.
type system struct {
	*drdemo.Cluster
	t            testing.TB
	platform     *drdemo.Platform
	objects      drconfig.Config
	mu           sync.Mutex
	logLinks     map[string]*logLink
	blockedPaths map[[2]string]bool
	closed       map[*drserve.VM]bool
	changes      atomic.Int64
}

func newSystem(t testing.TB, deployment string) *system {
	d := drdemo.Deployments()[deployment]
	platform, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: d, Poison: poisonPrompt})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	s := &system{
		t: t, platform: platform, logLinks: make(map[string]*logLink), blockedPaths: make(map[[2]string]bool), closed: make(map[*drserve.VM]bool),
	}
	objects, err := d.Objects()
	if err != nil {
		t.Fatal(err)
	}
	s.objects = drconfig.Config{}.With(objects...)
	s.Cluster, err = drdemo.NewCluster(context.Background(), drdemo.ClusterConfig{
		Deployment: d, Platform: platform, EntryVMs: 3, Clock: drclock.System{}, Version: "matrix",
		DrainNotice: 100 * time.Millisecond, Cut: s.isBlocked, Adjust: s.routeLogThroughLink,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.closeAll)
	// Waits until all VMs know an owner of each runner.
	s.waitFor(inForceBound, "owners of all runners", func() bool {
		for _, v := range s.VMs() {
			st, err := s.Admin(v).Status(context.Background())
			if err != nil || len(st.Runners) < d.Runners || slices.ContainsFunc(st.Runners, func(r dradmin.RunnerStatus) bool { return r.Owner == "" }) {
				return false
			}
		}
		return true
	})
	return s
}

func (s *system) closeAll() {
	var all sync.WaitGroup
	for _, v := range s.VMs() {
		all.Go(func() { s.kill(v) })
	}
	all.Wait()
}

func (s *system) routeLogThroughLink(settings *drsettings.Settings) {
	l := newLogLink(s.t, settings.LogAddress)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLinks[settings.VM] = l
	settings.LogAddress = l.address()
}

func (s *system) isBlocked(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedPaths[[2]string{from, to}]
}

// setPeersBlocked blocks or restores the messages from the VM to all others and, if
// both is true, also those from the others to the VM.
func (s *system) setPeersBlocked(vm *drserve.VM, cut, both bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := vm.Settings.VM
	for name := range s.logLinks {
		s.blockedPaths[[2]string{self, name}] = cut && name != self
		if both {
			s.blockedPaths[[2]string{name, self}] = cut && name != self
		}
	}
}

// setPartitioned cuts the VM off from the others and from the log, or reconnects it.
func (s *system) setPartitioned(vm *drserve.VM, cut bool) {
	s.setPeersBlocked(vm, cut, true)
	s.mu.Lock()
	l := s.logLinks[vm.Settings.VM]
	s.mu.Unlock()
	l.setCut(cut)
}

// kill stops a VM without a drain. A VM that is closed already is left alone.
func (s *system) kill(vm *drserve.VM) {
	s.mu.Lock()
	done := s.closed[vm]
	s.closed[vm] = true
	s.mu.Unlock()
	if !done {
		_ = vm.Close() // reports errors of the cut connections
	}
}

// live returns the VMs that were neither killed nor drained.
func (s *system) live() []*drserve.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.VMs(), func(vm *drserve.VM) bool { return s.closed[vm] })
}

func (s *system) setLogFaults(logFaults drstandin.LogFaults) { s.platform.Log.SetFaults(logFaults) }

// newAccountChange returns a change with a new id that puts a client account with
// the given weight.
func (s *system) newAccountChange(name string, weight int, basedOn uint64) dradmin.Change {
	return dradmin.Change{
		ID: fmt.Sprintf("matrix-%d", s.changes.Add(1)), BasedOn: basedOn, Author: "matrix",
		Puts: []dradmin.ObjectDocument{{
			ObjectName: dradmin.ObjectName{Kind: string(drconfig.KindAccount), Name: name},
			Object:     drconfig.EncodeObject(drconfig.ClientAccount{Name: name, Weight: weight}),
		}},
	}
}

// submit sends a change and, while its result is unknown, sends it again with the
// same id up to 10 times in all.
func (s *system) submit(vm *drserve.VM, change dradmin.Change) dradmin.ChangeResult {
	s.t.Helper()
	var err error
	for range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		var r dradmin.ChangeResult
		r, err = s.Admin(vm).Submit(ctx, change)
		cancel()
		if err == nil {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatalf("change %s: %v", change.ID, err)
	return dradmin.ChangeResult{}
}

// configOffset returns the offset of the configuration at the first live VM.
func (s *system) configOffset() uint64 {
	o, err := s.Admin(s.live()[0]).Objects(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return o.Offset
}

// awaitInForce waits until each live VM has applied the configuration up to offset.
// It fails the test if one takes longer than inForceBound.
func (s *system) awaitInForce(offset uint64) {
	s.t.Helper()
	for _, v := range s.live() {
		s.waitFor(inForceBound, "the change in force on "+v.Settings.VM, func() bool {
			st, err := s.Admin(v).Status(context.Background())
			return err == nil && st.ConfigOffset >= offset
		})
	}
}

// accountWeight returns the weight of a client account in a VM's configuration, 0
// if the account does not exist there.
func (s *system) accountWeight(vm *drserve.VM, name string) int {
	s.t.Helper()
	o, err := s.Admin(vm).Objects(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	for _, x := range o.Objects {
		if x.Kind == string(drconfig.KindAccount) && x.Name == name {
			var a struct {
				Weight int `json:"weight"`
			}
			if err := json.Unmarshal(x.Object, &a); err != nil {
				s.t.Fatal(err)
			}
			return a.Weight
		}
	}
	return 0
}

// waitFor polls a condition and fails the test if it does not hold in time.
func (s *system) waitFor(bound time.Duration, what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(bound); ; time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s: condition not met within %v", what, bound)
		}
	}
}

// pickModel returns a model that the account passasjer-app may use: one that is not
// loaded at the start if idle is true, else one that is always loaded.
func (s *system) pickModel(idle bool) string {
	names := s.objects.ModelsFor("passasjer-app")
	slices.Sort(names)
	for _, n := range names {
		if _, ok := s.objects.Model(n); ok && (s.objects.Replicas(n).Min == 0) == idle {
			return n
		}
	}
	s.t.Fatal("the account passasjer-app has no model of this kind")
	return ""
}

// executions returns how often the services executed calls with the
// Idempotency-Key.
func (s *system) executions(key string) int {
	n := 0
	for _, x := range s.platform.Services {
		n += x.Counts().Keys[key]
	}
	return n
}

// checkEngines checks the number of replicas (I1) and the memory (I2). It counts
// the replicas that exist now instead of adding up the engines' MostReplicas: that
// sum is too high if a replica has moved from one engine to another.
func (s *system) checkEngines() error {
	count := make(map[string]int)
	for _, e := range s.platform.Engines {
		if used := e.Counts().MostUsed; used > engineMemory {
			return fmt.Errorf("an engine used %d bytes of %d", used, int64(engineMemory))
		}
		if e.Counts().Refusals > 0 {
			return fmt.Errorf("an engine refused an order because it lacked memory")
		}
		for _, r := range e.Replicas() {
			if r.Adapter == "" {
				count[r.Model]++
			}
		}
	}
	for _, m := range slices.Sorted(maps.Keys(count)) {
		if maximum := s.objects.Replicas(m).Max; count[m] > maximum {
			return fmt.Errorf("model %s has %d replicas, the maximum is %d", m, count[m], maximum)
		}
	}
	return nil
}

// engineMemory is the memory of a stand-in engine, in bytes.
const engineMemory = 80 << 30
