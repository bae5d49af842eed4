package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

const (
	maxInRateRefusalPercent = 0.1
	skewDuration            = 20 * time.Second
	// skewOutputTokens keeps answers so short that the account's limit bounds the
	// load and not the engines. With the prompt of 50 tokens, a request reserves
	// skewReservedTokens.
	skewOutputTokens   = 4
	skewReservedTokens = 54
	withinRateFactor   = 0.95 // of the account's rate
	overRateFactor     = 3.0  // of the account's rate
)

// runSkew sends all requests of an account to one of 16 entry VMs, first within the
// account's rate and then over it. It compares the product with equal shares of the limit
// on all VMs.
func runSkew(ctx context.Context, seed uint64) ([]Figure, error) {
	figures, err := measureSkew(ctx, seed, productPolicy, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	baseline, err := measureSkew(ctx, seed, "equal-shares", drserve.Policies{Limit: drtokenshare.EqualShares})
	return append(figures, baseline...), err
}

// measureSkew measures refusals and used tokens under the given policies.
func measureSkew(ctx context.Context, seed uint64, policy string, policies drserve.Policies) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: largeClusterVMs, policies: policies, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	models, err := sys.idleModels(ctx, largeAccount, true)
	if err != nil {
		return nil, err
	}
	limit, _ := sys.config.Limit(largeAccount)
	account := drload.Account{Name: largeAccount, Models: models[:1], MaxTokens: skewOutputTokens, TimeoutSeconds: coldStartTimeoutSeconds}
	account.Rate = 5
	if _, err := sys.runLoad(ctx, seed, time.Second, 1, account); err != nil { // loads the model
		return nil, err
	}
	account.Rate = withinRateFactor * limit.Rate / skewReservedTokens
	within, err := sys.runLoad(ctx, seed, skewDuration, 1, account)
	if err != nil {
		return nil, err
	}
	account.Rate = overRateFactor * limit.Rate / skewReservedTokens
	over, err := sys.runLoad(ctx, seed, skewDuration, 1, account)
	if err != nil {
		return nil, err
	}
	withinReport, overReport := within.Accounts[0], over.Accounts[0]
	return []Figure{
		{Policy: policy, Name: "requests within the rate", Value: float64(withinReport.Sent), Unit: "requests"},
		Figure{Policy: policy, Name: "in-rate refusals", Value: 100 * float64(withinReport.InRateRefused) / float64(withinReport.Sent), Unit: "%"}.withLimit(maxInRateRefusalPercent),
		{Policy: policy, Name: "first token p99 within the rate", Value: withinReport.FirstToken.P99, Unit: "ms"},
		Figure{Policy: policy, Name: "over-rate tokens at 3 times the rate", Value: max(0, float64(overReport.UsedTokens)-overReport.AllowedTokens), Unit: "tokens"}.withLimit(0),
		{Policy: policy, Name: "share of the rate used at 3 times the rate", Value: 100 * float64(overReport.UsedTokens) / overReport.AllowedTokens, Unit: "%"},
	}, nil
}
