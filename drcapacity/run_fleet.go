package drcapacity

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/pprof"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drload"
)

// Labels of processor profiles; drserve adds the roles within an entry VM.
const (
	sideLabel    = "side"
	sidePlatform = "platform"
	sideLoad     = "load"
	sideRelay    = "relay"
	sideVM       = "connections"
	roleCallers  = "callers"
	roleAdmin    = "admin"
)

const (
	// settleTime is the wait before the first window. It covers the first
	// probes, the takeover of the runners and shares, and the loads of the
	// models with a minimum of replicas.
	settleTime = 6 * time.Second
	// cleanUpTime lets goroutines and connections of the previous fleet end, so
	// that they do not distort the comparison of memory.
	cleanUpTime = 3 * time.Second
	// windowLength is the length of one measurement, windowCount the number of
	// measurements.
	windowLength = 3 * time.Second
	windowCount  = 3
)

// unlimitedRate is a rate and a burst in tokens that no scenario reaches.
const unlimitedRate = 1e6

// scenarioRun is the fleet of one scenario while it is measured. bytes counts the
// relayed bytes by kind of connection; err is an error of starting a relay.
type scenarioRun struct {
	Scenario
	platform *drdemo.Platform
	cluster  *drdemo.Cluster
	mu       sync.Mutex
	relays   []*relay
	bytes    map[string]*atomic.Int64
	err      error
}

// runLabelled runs f under a profile label, which the goroutines that f starts
// inherit.
func runLabelled(side string, f func()) {
	pprof.Do(context.Background(), pprof.Labels(sideLabel, side), func(context.Context) { f() })
}

// measureFleet starts the scenario's fleet, measures it and stops it.
func measureFleet(ctx context.Context, scenario Scenario) (Fleet, error) {
	time.Sleep(cleanUpTime)
	r := &scenarioRun{Scenario: scenario, bytes: map[string]*atomic.Int64{"log": {}, "vm-list": {}, "peers": {}}}
	d := drdemo.Deployments()[deploymentName]
	d.Runners = scenario.Runners
	var err error
	runLabelled(sidePlatform, func() { r.platform, err = drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: d}) })
	if err != nil {
		return Fleet{}, err
	}
	defer r.platform.Close()
	before, goroutines := heldMemory(), runtime.NumGoroutine()
	runLabelled(sideVM, func() {
		r.cluster, err = drdemo.NewCluster(ctx, drdemo.ClusterConfig{
			Deployment: d, Platform: r.platform, EntryVMs: scenario.VMs, Clock: drclock.System{}, Version: "capacity", Relay: r.relay,
		})
	})
	if err != nil {
		return Fleet{}, err
	}
	defer r.close()
	if err := errors.Join(r.err, r.declare(ctx)); err != nil {
		return Fleet{}, err
	}
	f, err := r.measure(ctx)
	f.Memory = (heldMemory() - before) / float64(scenario.VMs)
	f.Goroutines = float64(runtime.NumGoroutine()-goroutines) / float64(scenario.VMs)
	return f, err
}

func (r *scenarioRun) close() {
	_ = r.cluster.Close()
	for _, x := range r.relays {
		x.close()
	}
}

func (r *scenarioRun) relay(kind, address string) string {
	var x *relay
	var err error
	runLabelled(sideRelay, func() { x, err = newRelay(address, r.bytes[kind]) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.err = err
		return address
	}
	r.relays = append(r.relays, x)
	return x.listener.Addr().String()
}

// declare adds the scenario's objects to the configuration.
func (r *scenarioRun) declare(ctx context.Context) error {
	d := drdemo.Deployments()[deploymentName]
	var objects drconfig.Objects
	if r.Rate > 0 {
		// Raises the deployment's limits, which would refuse most of the load.
		all, err := d.Objects()
		if err != nil {
			return err
		}
		for _, o := range all {
			if s, ok := o.(drconfig.Selector); ok {
				s.Rate, s.Burst = unlimitedRate, unlimitedRate
				objects = append(objects, s)
			}
		}
	}
	if r.Models+r.Accounts+len(objects) == 0 {
		return nil
	}
	for i := range r.Models {
		objects = append(objects, drconfig.Model{
			Name: fmt.Sprint("capacity-m", i), Labels: drconfig.Labels{"capacity": "x"}, Fleet: d.RunnerFleet, Bytes: 1 << 30, DefaultMaxTokens: 64, MaxTokens: 256,
		})
	}
	for i := range max(r.Accounts, min(r.Models, 1)) {
		name := fmt.Sprint("capacity-a", i)
		objects = append(objects,
			drconfig.ClientAccount{Name: name, Labels: drconfig.Labels{"name": name}},
			drconfig.Selector{
				Name: name, Models: drconfig.Labels{"capacity": "x"}, Accounts: drconfig.Labels{"name": name},
				Rate: 1000, Burst: 1000, Replicas: drconfig.Range{Max: 2},
			})
	}
	return r.submit(ctx, "capacity", objects)
}

func (r *scenarioRun) submit(ctx context.Context, id string, objects drconfig.Objects) error {
	c := dradmin.Change{ID: id, Author: "capacity"}
	vm := r.cluster.VMs()[0]
	admin := r.cluster.Admin(vm)
	st, err := admin.Status(ctx)
	if err != nil {
		return err
	}
	c.BasedOn = st.ConfigOffset
	for _, o := range objects {
		ref := o.Ref()
		c.Puts = append(c.Puts, dradmin.ObjectDocument{
			ObjectName: dradmin.ObjectName{Kind: string(ref.Kind), Name: ref.Name}, Object: drconfig.EncodeObject(o),
		})
	}
	res, err := admin.Submit(ctx, c)
	if err == nil && !res.Accepted {
		err = fmt.Errorf("configuration change rejected: %v", res.Problems)
	}
	return err
}

// measure starts the scenario's load and changes, waits until the fleet has
// settled, and combines the measurements of several windows.
func (r *scenarioRun) measure(ctx context.Context) (Fleet, error) {
	total := settleTime + windowCount*windowLength
	var report drload.Report
	var background sync.WaitGroup
	var errs [2]error
	ctx, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	runLabelled(sideLoad, func() {
		if r.Rate > 0 {
			background.Go(func() { report, errs[0] = drload.Run(ctx, drclock.System{}, r.loadProfile(total)) })
		}
		if r.Changes > 0 {
			background.Go(func() { errs[1] = r.submitChanges(ctx) })
		}
	})
	time.Sleep(settleTime)
	var measured []Fleet
	for range windowCount {
		w, err := r.measureWindow()
		if err != nil {
			return Fleet{}, err
		}
		measured = append(measured, w)
	}
	background.Wait()
	f := combineWindows(measured)
	f.Scenario = r.Scenario
	for _, a := range report.Accounts {
		f.Served += float64(a.Served) / report.Seconds
		f.Tokens += float64(a.UsedTokens) / report.Seconds
	}
	return f, errors.Join(errs[:]...)
}

// submitChanges puts one key after the other at the scenario's rate of changes
// until ctx ends.
func (r *scenarioRun) submitChanges(ctx context.Context) error {
	account := ""
	objects, err := drdemo.Deployments()[deploymentName].Objects()
	if err != nil {
		return err
	}
	for _, o := range objects {
		if a, ok := o.(drconfig.ClientAccount); ok {
			account = a.Name
		}
	}
	start := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / r.Changes * float64(time.Second))
		if (drclock.System{}).Sleep(ctx, at-time.Since(start)) != nil {
			return nil
		}
		name := fmt.Sprint("capacity-", i%100)
		k := drconfig.Key{ID: name, Account: account, Hash: drconfig.HashKey(configSecret, fmt.Sprint(i))}
		if err := r.submit(ctx, fmt.Sprint("change-", i), drconfig.Objects{k}); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// loadProfile returns a load that spreads the requests over all accounts and
// over their models with a minimum of replicas, which are always loaded.
func (r *scenarioRun) loadProfile(length time.Duration) drload.Profile {
	p := drload.Profile{Seed: 1, Seconds: length.Seconds() - 2}
	for _, v := range r.cluster.VMs() {
		p.Targets = append(p.Targets, v.CallersAddress())
	}
	objects, _ := drdemo.Deployments()[deploymentName].Objects()
	c := drconfig.Config{}.With(objects...)
	for _, a := range c.Accounts() {
		var kept []string
		for _, m := range c.ModelsFor(a.Name) {
			if _, ok := c.Model(m); ok && c.Replicas(m).Min > 0 {
				kept = append(kept, m)
			}
		}
		if len(kept) > 0 {
			p.Accounts = append(p.Accounts, drload.Account{
				Name: a.Name, Key: demoKeyPrefix + a.Name, Models: kept, PromptBytes: 1024, MaxTokens: r.Answer, TimeoutSeconds: 10,
			})
		}
	}
	for i := range p.Accounts {
		p.Accounts[i].Rate = r.Rate / float64(len(p.Accounts))
	}
	return p
}

// demoKeyPrefix precedes the account's name in the keys of examples/.
const demoKeyPrefix = "drk_demo_"

// measureWindow measures processor time, bytes and log requests of one window.
func (r *scenarioRun) measureWindow() (Fleet, error) {
	f := Fleet{CPU: make(map[string]float64), Bytes: make(map[string]float64)}
	start, startCPU, before := time.Now(), cpuTime(), r.platform.Log.Counts()
	startBytes := make(map[string]int64)
	for k, n := range r.bytes {
		startBytes[k] = n.Load()
	}
	shareByRole, err := cpuShares(func() error { time.Sleep(windowLength); return nil })
	if err != nil {
		return f, err
	}
	seconds, n := time.Since(start).Seconds(), float64(r.VMs)
	cores := (cpuTime() - startCPU).Seconds() / seconds
	for role, share := range shareByRole {
		f.CPU[role] = 100 * cores * share / n
	}
	for k, c := range r.bytes {
		f.Bytes[k] = float64(c.Load()-startBytes[k]) / seconds / n
	}
	// Each byte between two VMs passes one relay but counts for both VMs, one of
	// which sends and the other receives it.
	f.Bytes["peers"] *= 2
	after := r.platform.Log.Counts()
	f.Reads, f.Appends = float64(after.Reads-before.Reads)/seconds/n, float64(after.Appends-before.Appends)/seconds/n
	return f, nil
}

// combineWindows takes medians over windows, but the mean of each role's
// processor time, because a window holds few profile samples of a small role.
func combineWindows(measured []Fleet) Fleet {
	f := Fleet{CPU: make(map[string]float64), Bytes: make(map[string]float64)}
	sortedValues := func(value func(Fleet) float64) []float64 {
		var vs []float64
		for _, w := range measured {
			vs = append(vs, value(w))
		}
		slices.Sort(vs)
		return vs
	}
	median := func(value func(Fleet) float64) float64 { return sortedValues(value)[len(measured)/2] }
	for _, w := range measured {
		for role, v := range w.CPU {
			f.CPU[role] += v / float64(len(measured))
		}
		for kind := range w.Bytes {
			f.Bytes[kind] = median(func(window Fleet) float64 { return window.Bytes[kind] })
		}
	}
	f.Reads = median(func(window Fleet) float64 { return window.Reads })
	f.Appends = median(func(window Fleet) float64 { return window.Appends })
	control := sortedValues(Fleet.controlCPU)
	f.Low, f.Control, f.High = control[0], control[len(measured)/2], control[len(measured)-1]
	return f
}
