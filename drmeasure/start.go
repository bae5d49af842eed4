package drmeasure

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drload"
)

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
	a := r.Accounts[0]
	return []Figure{
		{Policy: product, Name: "cold start right after start", Value: a.ColdStart.Max, Unit: "ms"},
		Figure{Policy: product, Name: "refused", Value: refused(a), Unit: "requests"}.atMost(0),
	}, nil
}
