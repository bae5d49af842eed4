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
	demoEntryVMs    = 3
	demoDrainNotice = 200 * time.Millisecond
	drainTimeout    = 2 * time.Minute
)

// Config configures Run. Deployment, Clock and Out are required.
type Config struct {
	Deployment Deployment
	Clock      drclock.Clock
	Version    string
	Out        io.Writer
}

// Run starts a deployment and prints one line with the addresses, a key and the models
// to try. It serves until ctx ends and then drains the entry VMs, for at most
// drainTimeout.
func Run(ctx context.Context, config Config) error {
	platform, err := NewPlatform(PlatformConfig{Deployment: config.Deployment})
	if err != nil {
		return err
	}
	defer platform.Close()
	cluster, err := NewCluster(ctx, ClusterConfig{
		Deployment: config.Deployment, Platform: platform, EntryVMs: demoEntryVMs, Clock: config.Clock, Version: config.Version, DrainNotice: demoDrainNotice,
	})
	if err != nil {
		return err
	}
	example, err := findUsageExample(config.Deployment)
	if err != nil {
		return errors.Join(err, cluster.Close())
	}
	var callers, admins []string
	for _, v := range cluster.VMs() {
		callers = append(callers, v.CallersAddress())
		admins = append(admins, v.AdminAddress())
	}
	fmt.Fprintf(config.Out, "event=demo-ready callers=%s admin=%s key=%s model=%s idle-model=%s service=%s\n",
		strings.Join(callers, ","), strings.Join(admins, ","), example.key, example.model, example.idleModel, example.service)
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	return cluster.Drain(drainCtx)
}

// usageExample holds what a user needs for a first request: a caller's key, a model to
// ask, a model that is loaded only on request, and the path of a service.
type usageExample struct{ key, model, idleModel, service string }

// demoKeyPrefix is followed by the client account's name in the keys of examples/.
const demoKeyPrefix = "drk_demo_"

// findUsageExample picks a client account that may use two models and a route that
// declares no repeatable methods, so that its POST calls may not be repeated. It
// prefers accounts with a model that is always loaded, which has a minimum of at least
// one replica.
func findUsageExample(deployment Deployment) (usageExample, error) {
	objects, err := deployment.Objects()
	if err != nil {
		return usageExample{}, err
	}
	cfg := drconfig.Config{}.With(objects...)
	var found *usageExample
	for _, a := range cfg.Accounts() {
		example, alwaysLoaded := accountExample(cfg, a)
		if example.model == "" || example.idleModel == "" || example.service == "" {
			continue
		}
		if alwaysLoaded {
			return example, nil
		}
		if found == nil {
			found = &example
		}
	}
	if found == nil {
		return usageExample{}, fmt.Errorf("deployment %s: no client account may use two models and a service", deployment.Name)
	}
	return *found, nil
}

// accountExample returns the usage example of one client account, and whether its model
// is always loaded. Fields stay empty if the account may use no such model or service.
func accountExample(cfg drconfig.Config, account drconfig.ClientAccount) (example usageExample, hasAlwaysLoaded bool) {
	example.key = demoKeyPrefix + account.Name
	for _, name := range cfg.ModelsFor(account.Name) {
		if _, isModel := cfg.Model(name); !isModel {
			continue
		}
		switch alwaysLoaded := cfg.Replicas(name).Min > 0; {
		case alwaysLoaded && !hasAlwaysLoaded:
			example.model, hasAlwaysLoaded = name, true
		case example.model == "":
			example.model = name
		case !alwaysLoaded:
			example.idleModel = name
		}
	}
	for _, r := range cfg.Routes() {
		if !r.Open && len(r.RepeatableMethods) == 0 && account.Labels.Contains(r.Accounts) {
			example.service = r.Path
		}
	}
	return example, hasAlwaysLoaded
}
