package drdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
)

const (
	demoEntryVMs = 3
	demoNotice   = 200 * time.Millisecond
	drainTimeout = 2 * time.Minute
)

// Config configures a demonstration.
type Config struct {
	Deployment Deployment
	Clock      drclock.Clock
	Version    string
	Out        io.Writer
}

// Run starts a deployment, prints one line that says how to use it, and serves
// until ctx ends. It then drains.
func Run(ctx context.Context, c Config) error {
	platform, err := NewPlatform(PlatformConfig{Deployment: c.Deployment})
	if err != nil {
		return err
	}
	defer platform.Close()
	cluster, err := NewCluster(ctx, ClusterConfig{
		Deployment: c.Deployment, Platform: platform, EntryVMs: demoEntryVMs, Clock: c.Clock, Version: c.Version, DrainNotice: demoNotice,
	})
	if err != nil {
		return err
	}
	tour, err := newTour(c.Deployment)
	if err != nil {
		return errors.Join(err, cluster.Close())
	}
	var callers, admins []string
	for _, v := range cluster.VMs() {
		callers = append(callers, v.CallersAddress())
		admins = append(admins, v.AdminAddress())
	}
	fmt.Fprintf(c.Out, "event=demo-ready callers=%s admin=%s key=%s model=%s idle-model=%s service=%s\n",
		strings.Join(callers, ","), strings.Join(admins, ","), tour.key, tour.model, tour.idleModel, tour.service)
	<-ctx.Done()
	dctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	return cluster.Drain(dctx)
}

// tour is what a newcomer tries first.
type tour struct{ key, model, idleModel, service string }

// demoKeyPrefix precedes the account's name in the keys of examples/.
const demoKeyPrefix = "drk_demo_"

// newTour picks a client account that may use two models and a route with
// calls that may not be repeated, if possible one that has a kept model.
func newTour(d Deployment) (tour, error) {
	objects, err := d.Objects()
	if err != nil {
		return tour{}, err
	}
	cfg := drconfig.Config{}.With(objects...)
	var found *tour
	for _, a := range cfg.Accounts() {
		t, kept := tourOf(cfg, a)
		if t.model == "" || t.idleModel == "" || t.service == "" {
			continue
		}
		if kept {
			return t, nil
		}
		if found == nil {
			found = &t
		}
	}
	if found == nil {
		return tour{}, fmt.Errorf("no client account of %s may use two models and a service", d.Name)
	}
	return *found, nil
}

// tourOf returns the tour of one account, and whether its model is kept.
func tourOf(cfg drconfig.Config, a drconfig.ClientAccount) (t tour, kept bool) {
	t.key = demoKeyPrefix + a.Name
	for _, name := range cfg.ModelsFor(a.Name) {
		if _, isModel := cfg.Model(name); !isModel {
			continue
		}
		switch isKept := cfg.Replicas(name).Min > 0; {
		case isKept && !kept:
			t.model, kept = name, true
		case t.model == "":
			t.model = name
		case !isKept:
			t.idleModel = name
		}
	}
	for _, r := range cfg.Routes() {
		if !r.Open && len(r.RepeatableMethods) == 0 && a.Labels.Contains(r.Accounts) {
			t.service = r.Path
		}
	}
	return t, kept
}
