package drmeasure

import (
	"context"
	"slices"

	"github.com/dotterelridge/dotterelridge/drload"
)

// crowdSize is the number of requests for one idle model at 3 entry VMs.
const crowdSize = 24

// runStart asks for one idle model as soon as the configuration is in force.
func runStart(ctx context.Context, seed uint64) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: fewVMs})
	if err != nil {
		return nil, err
	}
	defer b.close()
	models, err := b.idleModels(ctx, "nordkabel", false)
	if err != nil {
		return nil, err
	}
	r, err := b.load(ctx, seed, shortRun, 0, drload.Account{
		Name: "nordkabel", IdleModels: models[:1], MaxTokens: 1, TimeoutSeconds: coldTimeout,
	})
	if err != nil {
		return nil, err
	}
	if err := clock.Sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	crowd, err := b.load(ctx, seed, shortRun, 0, drload.Account{
		Name: "nordkabel", IdleModels: slices.Repeat(models[1:2], crowdSize), MaxTokens: 1, TimeoutSeconds: coldTimeout,
	})
	if err != nil {
		return nil, err
	}
	a, c := r.Accounts[0], crowd.Accounts[0]
	return []Figure{
		{Policy: product, Name: "cold start right after start", Value: a.ColdStart.Max, Unit: "ms"},
		Figure{Policy: product, Name: "refused", Value: refused(a), Unit: "requests"}.atMost(0),
		{Policy: product, Name: "cold start p50 of several requests per VM", Value: c.ColdStart.P50, Unit: "ms"},
		{Policy: product, Name: "cold start p99 of several requests per VM", Value: c.ColdStart.P99, Unit: "ms"},
	}, nil
}
