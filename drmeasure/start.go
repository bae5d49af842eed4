package drmeasure

import (
	"context"
	"slices"

	"github.com/dotterelridge/dotterelridge/drload"
)

// concurrentRequests is the number of requests that are sent at the same time for one
// idle model, spread over 3 entry VMs.
const concurrentRequests = 24

// runStart sends a request for an idle model as soon as the configuration is in force.
// After settleTime it sends concurrentRequests requests for another idle model.
func runStart(ctx context.Context, seed uint64) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: smallClusterVMs})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	models, err := sys.idleModels(ctx, "nordkabel", false)
	if err != nil {
		return nil, err
	}
	single, err := sys.runLoad(ctx, seed, shortLoadDuration, 0, drload.Account{
		Name: "nordkabel", IdleModels: models[:1], MaxTokens: 1, TimeoutSeconds: coldStartTimeoutSeconds,
	})
	if err != nil {
		return nil, err
	}
	if err := clock.Sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	concurrent, err := sys.runLoad(ctx, seed, shortLoadDuration, 0, drload.Account{
		Name: "nordkabel", IdleModels: slices.Repeat(models[1:2], concurrentRequests), MaxTokens: 1, TimeoutSeconds: coldStartTimeoutSeconds,
	})
	if err != nil {
		return nil, err
	}
	singleReport, concurrentReport := single.Accounts[0], concurrent.Accounts[0]
	return []Figure{
		{Policy: productPolicy, Name: "cold start right after start", Value: singleReport.ColdStart.Max, Unit: "ms"},
		Figure{Policy: productPolicy, Name: "refused", Value: countNotServed(singleReport), Unit: "requests"}.withLimit(0),
		{Policy: productPolicy, Name: "cold start p50 of several requests per VM", Value: concurrentReport.ColdStart.P50, Unit: "ms"},
		{Policy: productPolicy, Name: "cold start p99 of several requests per VM", Value: concurrentReport.ColdStart.P99, Unit: "ms"},
	}, nil
}
