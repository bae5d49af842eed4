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
	// reservedTokens is what one request reserves of the account's limit: 50 prompt
	// tokens and 64 output tokens.
	reservedTokens      = 114
	smallRateFactor     = 0.8 // the small account sends this part of its rate
	neighbourRateFactor = 10  // the large account sends this multiple of its rate
	neighbourDuration   = 12 * time.Second
	// maxLatencyRatio is the target for the small account's latency beside the large
	// one, relative to its latency alone.
	maxLatencyRatio = 1.1
)

// runNeighbour measures a small client account alone and beside a large one that sends ten
// times its own rate for the same model. It compares the product with a first-come queue.
func runNeighbour(ctx context.Context, seed uint64) ([]Figure, error) {
	figures, err := measureNeighbour(ctx, seed, productPolicy, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	baseline, err := measureNeighbour(ctx, seed, "first-come", drserve.Policies{Queue: drqueue.FirstCome})
	return append(figures, baseline...), err
}

// measureNeighbour measures both accounts under the given policies.
func measureNeighbour(ctx context.Context, seed uint64, policy string, policies drserve.Policies) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: smallClusterVMs, policies: policies, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	models, err := sys.idleModels(ctx, smallAccount, true)
	if err != nil {
		return nil, err
	}
	rate := func(account string, factor float64) float64 {
		l, _ := sys.config.Limit(account)
		return factor * l.Rate / reservedTokens
	}
	small := drload.Account{Name: smallAccount, Models: models[:1], Rate: rate(smallAccount, smallRateFactor), TimeoutSeconds: coldStartTimeoutSeconds}
	large := drload.Account{Name: largeAccount, Models: models[:1], Rate: rate(largeAccount, neighbourRateFactor), TimeoutSeconds: coldStartTimeoutSeconds}
	if _, err := sys.runLoad(ctx, seed, time.Second, 0, small); err != nil { // loads the model
		return nil, err
	}
	alone, err := sys.runLoad(ctx, seed, neighbourDuration, 0, small)
	if err != nil {
		return nil, err
	}
	both, err := sys.runLoad(ctx, seed, neighbourDuration, 0, small, large)
	if err != nil {
		return nil, err
	}
	aloneReport, besideReport, neighbourReport := alone.Accounts[0], both.Accounts[0], both.Accounts[1]
	overRateTokens := max(0, float64(neighbourReport.UsedTokens)-neighbourReport.AllowedTokens)
	return []Figure{
		{Policy: policy, Name: "alone total p99", Value: aloneReport.Total.P99, Unit: "ms"},
		{Policy: policy, Name: "beside total p99", Value: besideReport.Total.P99, Unit: "ms"},
		Figure{Policy: policy, Name: "total p99 beside/alone", Value: besideReport.Total.P99 / aloneReport.Total.P99, Unit: "ratio"}.withLimit(maxLatencyRatio),
		{Policy: policy, Name: "first token p99 beside/alone", Value: besideReport.FirstToken.P99 / aloneReport.FirstToken.P99, Unit: "ratio"},
		{Policy: policy, Name: "goodput beside", Value: 100 * float64(besideReport.Served) / float64(besideReport.Sent), Unit: "%"},
		Figure{Policy: policy, Name: "in-rate refusals beside", Value: 100 * float64(besideReport.InRateRefused) / float64(besideReport.Sent), Unit: "%"}.withLimit(maxInRateRefusalPercent),
		Figure{Policy: policy, Name: "neighbour over-rate tokens", Value: overRateTokens, Unit: "tokens"}.withLimit(0),
		{Policy: policy, Name: "neighbour served share of rate", Value: 100 * float64(neighbourReport.UsedTokens) / neighbourReport.AllowedTokens, Unit: "%"},
	}, nil
}
