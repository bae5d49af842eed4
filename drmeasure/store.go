package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drserve"
)

// fastLoads is how many loads the weight store serves at full speed.
const fastLoads = 4

// runStore asks at 16 entry VMs at once for idle models that only the weight
// store has.
func runStore(ctx context.Context, seed uint64) ([]Figure, error) {
	fs, err := storeBurst(ctx, seed, product, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	base, err := storeBurst(ctx, seed, "load-on-miss", drserve.Policies{Place: drplacement.LoadOnMiss})
	return append(fs, base...), err
}

func storeBurst(ctx context.Context, seed uint64, policy string, p drserve.Policies) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: manyVMs, policies: p, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	models, err := b.idleModels(ctx, "nordkabel", false)
	if err != nil {
		return nil, err
	}
	before, _, _ := b.counts()
	r, err := b.load(ctx, seed, shortRun, 0, drload.Account{
		Name: "nordkabel", IdleModels: models, Burst: true, MaxTokens: 1, TimeoutSeconds: coldTimeout,
	})
	if err != nil {
		return nil, err
	}
	loads, _, _ := b.counts()
	a := r.Accounts[0]
	best := storeTime(len(models), drdemo.Deployments()[deployment].LoadsPerSecond)
	return []Figure{
		{Policy: policy, Name: "idle models", Value: float64(len(models)), Unit: "models"},
		Figure{Policy: policy, Name: "loads", Value: float64(loads - before), Unit: "loads"}.atMost(float64(len(models))),
		{Policy: policy, Name: "cold start p50", Value: a.ColdStart.P50, Unit: "ms"},
		Figure{Policy: policy, Name: "cold start p99", Value: a.ColdStart.P99, Unit: "ms"}.atMost(coldFactor * float64(best.Milliseconds())),
		Figure{Policy: policy, Name: "refused", Value: refused(a), Unit: "requests"}.atMost(0),
	}, nil
}

// storeTime is the shortest time in which the store can deliver n models: it
// starts rate loads a second and runs fastLoads at once at full speed.
func storeTime(n int, rate float64) time.Duration {
	rounds := (n + fastLoads - 1) / fastLoads
	atRate := time.Duration(float64(n-1)/rate*float64(time.Second)) + drdemo.RemoteLoad
	return max(atRate, time.Duration(rounds)*drdemo.RemoteLoad)
}
