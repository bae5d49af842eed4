package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	idleModelCount  = 8
	idleDuration    = 20 * time.Second
	idleRequestRate = 4 // requests per second over all models
)

// runIdle sends requests for idleModelCount models and reports how long replicas were
// loaded without a generation. It compares the product with the load-on-miss policy.
func runIdle(ctx context.Context, seed uint64) ([]Figure, error) {
	figures, err := measureIdle(ctx, seed, productPolicy, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	baseline, err := measureIdle(ctx, seed, "load-on-miss", drserve.Policies{Place: drplacement.LoadOnMiss})
	return append(figures, baseline...), err
}

// measureIdle measures idle replica time under the given policies. A second account sends
// a burst for each of the models to all entry VMs.
func measureIdle(ctx context.Context, seed uint64, policy string, policies drserve.Policies) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: largeClusterVMs, policies: policies, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	models, err := sys.idleModels(ctx, "nordkabel", true)
	if err != nil {
		return nil, err
	}
	models = models[:idleModelCount]
	_, loadedBefore, idleBefore := sys.engineCounts()
	report, err := sys.runLoad(ctx, seed, idleDuration, 0, drload.Account{
		Name: "nordkabel", Models: models, Rate: idleRequestRate, TimeoutSeconds: coldStartTimeoutSeconds,
	}, drload.Account{
		Name: "sundlinja", IdleModels: models, Burst: true, TimeoutSeconds: coldStartTimeoutSeconds,
	})
	if err != nil {
		return nil, err
	}
	loads, loaded, idle := sys.engineCounts()
	loaded, idle = loaded-loadedBefore, idle-idleBefore
	return []Figure{
		{Policy: policy, Name: "loads", Value: float64(loads), Unit: "loads"},
		{Policy: policy, Name: "loaded replica time", Value: loaded, Unit: "s"},
		{Policy: policy, Name: "idle replica time", Value: idle, Unit: "s"},
		{Policy: policy, Name: "idle per served request", Value: idle / float64(max(1, report.Accounts[0].Served+report.Accounts[1].Served)), Unit: "s"},
		{Policy: policy, Name: "refused", Value: countNotServed(report.Accounts[0]) + countNotServed(report.Accounts[1]), Unit: "requests"},
	}, nil
}
