package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	firstTokenTargetMillis    = 1200 // of the 95th percentile
	betweenTokensTargetMillis = 72   // of the 95th percentile
	tokensDuration            = 12 * time.Second
	// tokensRequestRate, in requests per second, uses about half of the capacity of
	// the engines that have loaded the models.
	tokensRequestRate = 40
	tokensModelCount  = 4
	// tokenInterval is typical of a large model. The target for the time between
	// tokens, 72 ms, leaves 22 ms for everything else.
	tokenInterval = 50 * time.Millisecond
)

// runTokens measures the time to the first token and between tokens on loaded models. It
// compares the product with routing to a random replica.
func runTokens(ctx context.Context, seed uint64) ([]Figure, error) {
	figures, err := measureTokens(ctx, seed, productPolicy, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	baseline, err := measureTokens(ctx, seed, "random route", drserve.Policies{Route: drrouter.Random})
	return append(figures, baseline...), err
}

// measureTokens loads the models and then measures streams under the given policies.
func measureTokens(ctx context.Context, seed uint64, policy string, policies drserve.Policies) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: largeClusterVMs, policies: policies, tokenInterval: tokenInterval, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	models, err := sys.idleModels(ctx, largeAccount, true)
	if err != nil {
		return nil, err
	}
	account := drload.Account{Name: largeAccount, Models: models[:tokensModelCount], Rate: tokensRequestRate, MaxTokens: 32, TimeoutSeconds: coldStartTimeoutSeconds}
	warmUp := account
	warmUp.Rate, warmUp.IdleModels = 0, account.Models
	if _, err := sys.runLoad(ctx, seed, time.Second, 0, warmUp); err != nil {
		return nil, err
	}
	report, err := sys.runLoad(ctx, seed, tokensDuration, 0, account)
	if err != nil {
		return nil, err
	}
	accountReport := report.Accounts[0]
	return []Figure{
		Figure{Policy: policy, Name: "first token p95", Value: accountReport.FirstToken.P95, Unit: "ms"}.withLimit(firstTokenTargetMillis),
		{Policy: policy, Name: "first token p50", Value: accountReport.FirstToken.P50, Unit: "ms"},
		Figure{Policy: policy, Name: "between tokens p95", Value: accountReport.BetweenTokens.P95, Unit: "ms"}.withLimit(betweenTokensTargetMillis),
		Figure{Policy: policy, Name: "refused", Value: countNotServed(accountReport), Unit: "requests"}.withLimit(0),
	}, nil
}
