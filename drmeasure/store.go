package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drserve"
)

// fullSpeedLoads is how many concurrent loads the weight store serves without slowing each
// one down.
const fullSpeedLoads = 4

// runStore sends requests for many idle models to each of 16 entry VMs at about the same
// time. No engine has the models on disk, so the weight store limits the loads. It compares
// the product with the load-on-miss policy.
func runStore(ctx context.Context, seed uint64) ([]Figure, error) {
	figures, err := measureStore(ctx, seed, productPolicy, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	baseline, err := measureStore(ctx, seed, "load-on-miss", drserve.Policies{Place: drplacement.LoadOnMiss})
	return append(figures, baseline...), err
}

// measureStore measures loads and cold starts under the given policies.
func measureStore(ctx context.Context, seed uint64, policy string, policies drserve.Policies) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: largeClusterVMs, policies: policies, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	models, err := sys.idleModels(ctx, "nordkabel", false)
	if err != nil {
		return nil, err
	}
	loadsBefore, _, _ := sys.engineCounts()
	report, err := sys.runLoad(ctx, seed, shortLoadDuration, 0, drload.Account{
		Name: "nordkabel", IdleModels: models, Burst: true, MaxTokens: 1, TimeoutSeconds: coldStartTimeoutSeconds,
	})
	if err != nil {
		return nil, err
	}
	loads, _, _ := sys.engineCounts()
	account := report.Accounts[0]
	bestTime := minStoreTime(len(models), drdemo.Deployments()[deploymentName].LoadsPerSecond)
	return []Figure{
		{Policy: policy, Name: "idle models", Value: float64(len(models)), Unit: "models"},
		Figure{Policy: policy, Name: "loads", Value: float64(loads - loadsBefore), Unit: "loads"}.withLimit(float64(len(models))),
		{Policy: policy, Name: "cold start p50", Value: account.ColdStart.P50, Unit: "ms"},
		Figure{Policy: policy, Name: "cold start p99", Value: account.ColdStart.P99, Unit: "ms"}.withLimit(coldStartTargetFactor * float64(bestTime.Milliseconds())),
		Figure{Policy: policy, Name: "refused", Value: countNotServed(account), Unit: "requests"}.withLimit(0),
	}, nil
}

// minStoreTime returns the shortest time in which the weight store can deliver the given
// number of models: it starts rate loads per second and serves fullSpeedLoads at a time at
// full speed.
func minStoreTime(models int, rate float64) time.Duration {
	rounds := (models + fullSpeedLoads - 1) / fullSpeedLoads
	atRate := time.Duration(float64(models-1)/rate*float64(time.Second)) + drdemo.RemoteLoad
	return max(atRate, time.Duration(rounds)*drdemo.RemoteLoad)
}
