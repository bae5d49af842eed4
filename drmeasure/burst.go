package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	burstModelCount = 5
	// burstInterval is the time between two bursts. It is long enough that no burst
	// waits for the weight store to finish the loads of another one.
	burstInterval = 2500 * time.Millisecond
	// coldStartTargetFactor times the shortest possible load time is the target for
	// cold starts.
	coldStartTargetFactor = 1.2
	// shortLoadDuration is for loads that only ask for idle models, all at once.
	shortLoadDuration = 20 * time.Millisecond
)

// runBurst sends a burst of requests for an idle model, one to each of 16 entry VMs at the
// same time, and repeats it for burstModelCount models from each weight source. It compares
// the product with the load-on-miss policy, and reports a cold start of an engine that is
// called directly.
func runBurst(ctx context.Context, seed uint64) ([]Figure, error) {
	var figures []Figure
	for _, onDisk := range []bool{false, true} {
		coldStart, err := directColdStart(ctx, onDisk)
		if err != nil {
			return nil, err
		}
		figures = append(figures, Figure{Policy: "direct", Name: sourceName(onDisk) + " cold start", Value: float64(coldStart.Microseconds()) / 1000, Unit: "ms"})
	}
	productFigures, err := measureBurst(ctx, seed, productPolicy, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	figures = append(figures, productFigures...)
	baseline, err := measureBurst(ctx, seed, "load-on-miss", drserve.Policies{Place: drplacement.LoadOnMiss})
	return append(figures, baseline...), err
}

// measureBurst measures the bursts under the given policies. Policy is their name in the
// figures.
func measureBurst(ctx context.Context, seed uint64, policy string, policies drserve.Policies) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: largeClusterVMs, policies: policies, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	var figures []Figure
	for _, onDisk := range []bool{false, true} {
		models, err := sys.idleModels(ctx, "nordkabel", onDisk)
		if err != nil {
			return nil, err
		}
		models = models[:burstModelCount]
		source, bestLoadTime := sourceName(onDisk), drdemo.RemoteLoad
		if onDisk {
			bestLoadTime = drdemo.DiskLoad
		}
		loadsBefore, _, _ := sys.engineCounts()
		report, err := sys.runLoad(ctx, seed, time.Duration(len(models))*burstInterval, 0, drload.Account{
			Name: "nordkabel", IdleModels: models, Burst: true, MaxTokens: 1, TimeoutSeconds: coldStartTimeoutSeconds,
		})
		if err != nil {
			return nil, err
		}
		loads, _, _ := sys.engineCounts()
		account := report.Accounts[0]
		figures = append(figures,
			Figure{Policy: policy, Name: source + " loads per burst", Value: float64(loads-loadsBefore) / float64(len(models)), Unit: "loads"}.withLimit(1),
			Figure{Policy: policy, Name: source + " cold start p50", Value: account.ColdStart.P50, Unit: "ms"},
			Figure{Policy: policy, Name: source + " cold start p99", Value: account.ColdStart.P99, Unit: "ms"}.withLimit(coldStartTargetFactor*float64(bestLoadTime.Milliseconds())),
			Figure{Policy: policy, Name: source + " refused", Value: countNotServed(account), Unit: "requests"}.withLimit(0),
		)
	}
	return figures, nil
}

// sourceName names the weight source in the figures.
func sourceName(onDisk bool) string {
	if onDisk {
		return "disk"
	}
	return "remote"
}
