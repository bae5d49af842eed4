package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

const (
	inRateTarget = 0.1 // percent of requests
	skewRun      = 20 * time.Second
	// skewTokens keeps the requests so short that the engines do not bound
	// them; with the prompt a request reserves 54 tokens.
	skewTokens  = 4
	skewReserve = 54
	inRate      = 0.95
	overRate    = 3.0
)

// runSkew sends all requests of an account to one of 16 entry VMs, first
// within its rate, then over it.
func runSkew(ctx context.Context, seed uint64) ([]Figure, error) {
	fs, err := skew(ctx, seed, product, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	base, err := skew(ctx, seed, "equal-shares", drserve.Policies{Limit: drtokenshare.EqualShares})
	return append(fs, base...), err
}

func skew(ctx context.Context, seed uint64, policy string, p drserve.Policies) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: manyVMs, policies: p, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	models, err := b.idleModels(ctx, largeAccount, true)
	if err != nil {
		return nil, err
	}
	l, _ := b.config.Limit(largeAccount)
	a := drload.Account{Name: largeAccount, Models: models[:1], MaxTokens: skewTokens, TimeoutSeconds: coldTimeout}
	a.Rate = 5
	if _, err := b.load(ctx, seed, time.Second, 1, a); err != nil { // loads the model
		return nil, err
	}
	a.Rate = inRate * l.Rate / skewReserve
	within, err := b.load(ctx, seed, skewRun, 1, a)
	if err != nil {
		return nil, err
	}
	a.Rate = overRate * l.Rate / skewReserve
	over, err := b.load(ctx, seed, skewRun, 1, a)
	if err != nil {
		return nil, err
	}
	x, y := within.Accounts[0], over.Accounts[0]
	return []Figure{
		{Policy: policy, Name: "requests within the rate", Value: float64(x.Sent), Unit: "requests"},
		Figure{Policy: policy, Name: "in-rate refusals", Value: 100 * float64(x.InRateRefused) / float64(x.Sent), Unit: "%"}.atMost(inRateTarget),
		{Policy: policy, Name: "first token p99 within the rate", Value: x.FirstToken.P99, Unit: "ms"},
		Figure{Policy: policy, Name: "over-rate tokens at 3 times the rate", Value: max(0, float64(y.UsedTokens)-y.AllowedTokens), Unit: "tokens"}.atMost(0),
		{Policy: policy, Name: "share of the rate used at 3 times the rate", Value: 100 * float64(y.UsedTokens) / y.AllowedTokens, Unit: "%"},
	}, nil
}
