package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	idleModelCount = 8
	idleWatch      = 20 * time.Second
	idleRate       = 4 // requests per second over all models
)

// runIdle uses some models for a while and reports the time that replicas were
// loaded without a generation.
func runIdle(ctx context.Context, seed uint64) ([]Figure, error) {
	fs, err := idle(ctx, seed, product, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	base, err := idle(ctx, seed, "load-on-miss", drserve.Policies{Place: drplacement.LoadOnMiss})
	return append(fs, base...), err
}

func idle(ctx context.Context, seed uint64, policy string, p drserve.Policies) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: manyVMs, policies: p, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	models, err := b.idleModels(ctx, "nordkabel", true)
	if err != nil {
		return nil, err
	}
	models = models[:idleModelCount]
	_, loadedBefore, idleBefore := b.counts()
	r, err := b.load(ctx, seed, idleWatch, 0, drload.Account{
		Name: "nordkabel", Models: models, Rate: idleRate, TimeoutSeconds: coldTimeout,
	}, drload.Account{
		Name: "sundlinja", IdleModels: models, Burst: true, TimeoutSeconds: coldTimeout,
	})
	if err != nil {
		return nil, err
	}
	loads, loaded, idle := b.counts()
	loaded, idle = loaded-loadedBefore, idle-idleBefore
	return []Figure{
		{Policy: policy, Name: "loads", Value: float64(loads), Unit: "loads"},
		{Policy: policy, Name: "loaded replica time", Value: loaded, Unit: "s"},
		{Policy: policy, Name: "idle replica time", Value: idle, Unit: "s"},
		{Policy: policy, Name: "idle per served request", Value: idle / float64(max(1, r.Accounts[0].Served+r.Accounts[1].Served)), Unit: "s"},
		{Policy: policy, Name: "refused", Value: refused(r.Accounts[0]) + refused(r.Accounts[1]), Unit: "requests"},
	}, nil
}
