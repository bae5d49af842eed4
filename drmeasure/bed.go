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
	deployment = "fjordsnor"
	keyPrefix  = "drk_demo_" // of the keys in examples/
	// settleTime follows the start of the entry VMs in scenarios that measure
	// a running system: ownership and shares spread over the VMs meanwhile.
	settleTime = 6 * time.Second
	manyVMs    = 16
	fewVMs     = 3
	// coldTimeout is the deadline of requests that may wait for a load.
	coldTimeout = 30          // seconds
	liftedRate  = 100_000_000 // tokens per second
)

// bedConfig configures a bed.
type bedConfig struct {
	entryVMs      int
	policies      drserve.Policies
	tokenInterval time.Duration
	settle        time.Duration
}

// bed is a running system with its stand-ins.
type bed struct {
	platform *drdemo.Platform
	cluster  *drdemo.Cluster
	config   drconfig.Config
	targets  []string
}

func newBed(ctx context.Context, c bedConfig) (*bed, error) {
	d := drdemo.Deployments()[deployment]
	objects, err := d.Objects()
	if err != nil {
		return nil, err
	}
	p, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: d, TokenInterval: c.tokenInterval})
	if err != nil {
		return nil, err
	}
	k, err := drdemo.NewCluster(ctx, drdemo.ClusterConfig{
		Deployment: d, Platform: p, EntryVMs: c.entryVMs, Clock: clock, Version: "measure", Policies: c.policies,
	})
	if err != nil {
		p.Close()
		return nil, err
	}
	b := &bed{platform: p, cluster: k, config: drconfig.Config{}.With(objects...)}
	for _, v := range k.VMs() {
		b.targets = append(b.targets, v.CallersAddress())
	}
	return b, clock.Sleep(ctx, c.settle)
}

func (b *bed) close() {
	_ = b.cluster.Close() // the figures are already taken
	b.platform.Close()
}

// liftLimits gives the accounts of a selector a rate that no measurement
// reaches.
func (b *bed) liftLimits(ctx context.Context, selector string) error {
	s, ok := b.config.Selector(selector)
	if !ok {
		return fmt.Errorf("no selector %q", selector)
	}
	s.Rate, s.Burst = liftedRate, liftedRate
	r := s.Ref()
	admin := b.cluster.Admin(b.cluster.VMs()[0])
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
		return fmt.Errorf("lifted limits rejected: %v", res.Problems)
	}
	if err := b.cluster.WaitInForce(ctx, res.Offset); err != nil {
		return err
	}
	return clock.Sleep(ctx, settleTime)
}

// diskCached returns the models that some engine has on its disk.
func (b *bed) diskCached(ctx context.Context) (drcollection.Set[string], error) {
	cached := make(drcollection.Set[string])
	for _, e := range b.platform.Engines {
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

// idleModels returns the models of an account that have no minimum, those
// that some engine has on disk or the others.
func (b *bed) idleModels(ctx context.Context, account string, onDisk bool) ([]string, error) {
	cached, err := b.diskCached(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, name := range b.config.ModelsFor(account) {
		if _, ok := b.config.Model(name); ok && b.config.Replicas(name).Min == 0 && cached.Has(name) == onDisk {
			names = append(names, name)
		}
	}
	return names, nil
}

// load runs a profile for the given accounts.
func (b *bed) load(ctx context.Context, seed uint64, length time.Duration, skew float64, as ...drload.Account) (drload.Report, error) {
	for i := range as {
		as[i].Key = keyPrefix + as[i].Name
		if l, ok := b.config.Limit(as[i].Name); ok {
			as[i].LimitRate, as[i].LimitBurst = l.Rate, l.Burst
		}
	}
	return drload.Run(ctx, clock, drload.Profile{
		Targets: b.targets, Seed: seed, Seconds: length.Seconds(), Skew: skew, Accounts: as,
	})
}

// counts sums loads, loaded seconds and idle seconds over the engines.
func (b *bed) counts() (loads int, loaded, idle float64) {
	for _, e := range b.platform.Engines {
		c := e.Counts()
		loads += c.Loads
		loaded += c.LoadedSeconds
		idle += c.IdleSeconds
	}
	return loads, loaded, idle
}

// refused returns the requests that were not served.
func refused(a drload.AccountReport) float64 { return float64(a.Sent - a.Served) }
