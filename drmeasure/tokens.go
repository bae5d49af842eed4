package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	firstTokenTarget   = 1200 // ms, p95
	betweenTokenTarget = 72   // ms, p95
	tokensRun          = 12 * time.Second
	// tokensRate keeps the engines that hold the models at about half of
	// their capacity.
	tokensRate   = 40
	tokensModels = 4
	// tokenInterval is that of a large model; the target leaves it 72 ms.
	tokenInterval = 50 * time.Millisecond
)

// runTokens measures streams on loaded models.
func runTokens(ctx context.Context, seed uint64) ([]Figure, error) {
	fs, err := tokens(ctx, seed, product, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	base, err := tokens(ctx, seed, "random route", drserve.Policies{Route: drrouter.Random})
	return append(fs, base...), err
}

func tokens(ctx context.Context, seed uint64, policy string, p drserve.Policies) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: manyVMs, policies: p, tokenInterval: tokenInterval, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	models, err := b.idleModels(ctx, largeAccount, true)
	if err != nil {
		return nil, err
	}
	a := drload.Account{Name: largeAccount, Models: models[:tokensModels], Rate: tokensRate, MaxTokens: 32, TimeoutSeconds: coldTimeout}
	warm := a
	warm.Rate, warm.IdleModels = 0, a.Models
	if _, err := b.load(ctx, seed, time.Second, 0, warm); err != nil {
		return nil, err
	}
	r, err := b.load(ctx, seed, tokensRun, 0, a)
	if err != nil {
		return nil, err
	}
	x := r.Accounts[0]
	return []Figure{
		Figure{Policy: policy, Name: "first token p95", Value: x.FirstToken.P95, Unit: "ms"}.atMost(firstTokenTarget),
		{Policy: policy, Name: "first token p50", Value: x.FirstToken.P50, Unit: "ms"},
		Figure{Policy: policy, Name: "between tokens p95", Value: x.BetweenTokens.P95, Unit: "ms"}.atMost(betweenTokenTarget),
		Figure{Policy: policy, Name: "refused", Value: refused(x), Unit: "requests"}.atMost(0),
	}, nil
}
