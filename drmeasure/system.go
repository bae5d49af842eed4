package drmeasure

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	deploymentName = "fjordsnor"
	keyPrefix      = "drk_demo_" // followed by the account's name in the keys of examples/
	// settleTime is the wait before scenarios measure a system that has run for a
	// while: ownership of runners and token shares spread over the VMs in that time.
	settleTime      = 6 * time.Second
	largeClusterVMs = 16
	smallClusterVMs = 3
	// coldStartTimeoutSeconds is the deadline of requests that may wait until a model
	// is loaded.
	coldStartTimeoutSeconds = 30
	// raisedRate, in tokens per second, is more than any measurement uses.
	raisedRate = 100_000_000
)

// systemConfig configures a system. The zero value of policies stands for the product's
// own policies, and a tokenInterval of 0 for the stand-in's default; if it
// is negative, engines do not wait between tokens.
type systemConfig struct {
	entryVMs      int
	policies      drserve.Policies
	tokenInterval time.Duration
	settleDelay   time.Duration // wait after the start
}

// system holds running entry VMs and the stand-ins that they use.
type system struct {
	platform *drdemo.Platform
	cluster  *drdemo.Cluster
	config   drconfig.Config // the deployment's declarations
	targets  []string        // callers' addresses of the entry VMs
}

// newSystem starts a system and returns after settleDelay. On success the caller must
// call close.
func newSystem(ctx context.Context, config systemConfig) (*system, error) {
	d := drdemo.Deployments()[deploymentName]
	objects, err := d.Objects()
	if err != nil {
		return nil, err
	}
	p, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: d, TokenInterval: config.tokenInterval})
	if err != nil {
		return nil, err
	}
	k, err := drdemo.NewCluster(ctx, drdemo.ClusterConfig{
		Deployment: d, Platform: p, EntryVMs: config.entryVMs, Clock: clock, Version: "measure", Policies: config.policies,
	})
	if err != nil {
		p.Close()
		return nil, err
	}
	sys := &system{platform: p, cluster: k, config: drconfig.Config{}.With(objects...)}
	for _, v := range k.VMs() {
		sys.targets = append(sys.targets, v.CallersAddress())
	}
	return sys, clock.Sleep(ctx, config.settleDelay)
}

func (sys *system) close() {
	_ = sys.cluster.Close() // an error cannot change the figures, which are already measured
	sys.platform.Close()
}

// raiseLimits raises the limit of the accounts of a selector to a rate that no
// measurement reaches, and waits until the new token shares are spread over the VMs.
func (sys *system) raiseLimits(ctx context.Context, selector string) error {
	s, ok := sys.config.Selector(selector)
	if !ok {
		return fmt.Errorf("no selector %q", selector)
	}
	s.Rate, s.Burst = raisedRate, raisedRate
	r := s.Ref()
	admin := sys.cluster.Admin(sys.cluster.VMs()[0])
	st, err := admin.Status(ctx)
	if err != nil {
		return err
	}
	res, err := admin.Submit(ctx, dradmin.Change{
		ID: "lift-limits", Author: "measure", BasedOn: st.ConfigOffset, Puts: []dradmin.ObjectDocument{{
			ObjectName: dradmin.ObjectName{Kind: string(r.Kind), Name: r.Name}, Object: drconfig.EncodeObject(s),
		}},
	})
	if err != nil {
		return err
	}
	if !res.Accepted {
		return fmt.Errorf("entry VM rejected the raised limits: %v", res.Problems)
	}
	if err := sys.cluster.WaitInForce(ctx, res.Offset); err != nil {
		return err
	}
	return clock.Sleep(ctx, settleTime)
}

// diskCached returns the models that are in the disk cache of at least one engine.
func (sys *system) diskCached(ctx context.Context) (drcollection.Set[string], error) {
	cached := make(drcollection.Set[string])
	for _, e := range sys.platform.Engines {
		s, err := drengine.NewHTTP(drengine.HTTPConfig{Address: e.Address(), Clock: clock}).State(ctx, 0, 0, 0)
		if err != nil {
			return nil, err
		}
		for _, m := range s.Cached.Disk {
			cached.Add(m)
		}
	}
	return cached, nil
}

// idleModels returns the models of an account that are loaded only on request, as they
// have no minimum of replicas. With onDisk it returns those in some engine's disk cache,
// otherwise those that must be loaded from the weight store.
func (sys *system) idleModels(ctx context.Context, account string, onDisk bool) ([]string, error) {
	cached, err := sys.diskCached(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, name := range sys.config.ModelsFor(account) {
		if _, ok := sys.config.Model(name); ok && sys.config.Replicas(name).Min == 0 && cached.Has(name) == onDisk {
			names = append(names, name)
		}
	}
	return names, nil
}

// runLoad generates load of the given accounts for the duration. It sets the keys of the
// accounts and the limits that the report compares with. Skew is the share of requests
// sent to the first entry VM.
func (sys *system) runLoad(ctx context.Context, seed uint64, duration time.Duration, skew float64, accounts ...drload.Account) (drload.Report, error) {
	for i := range accounts {
		accounts[i].Key = keyPrefix + accounts[i].Name
		if l, ok := sys.config.Limit(accounts[i].Name); ok {
			accounts[i].LimitRate, accounts[i].LimitBurst = l.Rate, l.Burst
		}
	}
	return drload.Run(ctx, clock, drload.Profile{
		Targets: sys.targets, Seed: seed, Seconds: duration.Seconds(), Skew: skew, Accounts: accounts,
	})
}

// engineCounts returns sums over all engines since their start: model loads, seconds that
// replicas were loaded, and seconds of these without a generation.
func (sys *system) engineCounts() (loads int, loaded, idle float64) {
	for _, e := range sys.platform.Engines {
		c := e.Counts()
		loads += c.Loads
		loaded += c.LoadedSeconds
		idle += c.IdleSeconds
	}
	return loads, loaded, idle
}

// countNotServed returns the number of requests without a complete answer.
func countNotServed(report drload.AccountReport) float64 { return float64(report.Sent - report.Served) }
