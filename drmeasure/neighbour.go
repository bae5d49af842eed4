package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drqueue"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	smallAccount, largeAccount = "vestsnor", "nordkabel"
	// A request reserves 50 prompt tokens and 64 output tokens.
	requestTokens    = 114
	smallRate        = 0.8 // of the account's rate
	neighbourRate    = 10  // times the neighbour's rate
	neighbourRun     = 12 * time.Second
	neighbourPenalty = 1.1
)

// runNeighbour measures a small client account alone, and beside a large one
// that sends ten times its rate.
func runNeighbour(ctx context.Context, seed uint64) ([]Figure, error) {
	fs, err := neighbour(ctx, seed, product, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	base, err := neighbour(ctx, seed, "first-come", drserve.Policies{Queue: drqueue.FirstCome})
	return append(fs, base...), err
}

func neighbour(ctx context.Context, seed uint64, policy string, p drserve.Policies) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: fewVMs, policies: p, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	models, err := b.idleModels(ctx, smallAccount, true)
	if err != nil {
		return nil, err
	}
	rate := func(account string, factor float64) float64 {
		l, _ := b.config.Limit(account)
		return factor * l.Rate / requestTokens
	}
	small := drload.Account{Name: smallAccount, Models: models[:1], Rate: rate(smallAccount, smallRate), TimeoutSeconds: coldTimeout}
	large := drload.Account{Name: largeAccount, Models: models[:1], Rate: rate(largeAccount, neighbourRate), TimeoutSeconds: coldTimeout}
	if _, err := b.load(ctx, seed, time.Second, 0, small); err != nil { // loads the model
		return nil, err
	}
	alone, err := b.load(ctx, seed, neighbourRun, 0, small)
	if err != nil {
		return nil, err
	}
	both, err := b.load(ctx, seed, neighbourRun, 0, small, large)
	if err != nil {
		return nil, err
	}
	x, y, z := alone.Accounts[0], both.Accounts[0], both.Accounts[1]
	over := max(0, float64(z.UsedTokens)-z.AllowedTokens)
	return []Figure{
		{Policy: policy, Name: "alone total p99", Value: x.Total.P99, Unit: "ms"},
		{Policy: policy, Name: "beside total p99", Value: y.Total.P99, Unit: "ms"},
		Figure{Policy: policy, Name: "total p99 beside/alone", Value: y.Total.P99 / x.Total.P99, Unit: "ratio"}.atMost(neighbourPenalty),
		{Policy: policy, Name: "first token p99 beside/alone", Value: y.FirstToken.P99 / x.FirstToken.P99, Unit: "ratio"},
		{Policy: policy, Name: "goodput beside", Value: 100 * float64(y.Served) / float64(y.Sent), Unit: "%"},
		Figure{Policy: policy, Name: "in-rate refusals beside", Value: 100 * float64(y.InRateRefused) / float64(y.Sent), Unit: "%"}.atMost(inRateTarget),
		Figure{Policy: policy, Name: "neighbour over-rate tokens", Value: over, Unit: "tokens"}.atMost(0),
		{Policy: policy, Name: "neighbour served share of rate", Value: 100 * float64(z.UsedTokens) / z.AllowedTokens, Unit: "%"},
	}, nil
}
