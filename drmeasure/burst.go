package drmeasure

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drload"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	burstModels = 5
	// burstGap separates the bursts, so that none waits for the store.
	burstGap = 2500 * time.Millisecond
	// coldFactor is the target against the engine's best load time.
	coldFactor = 1.2
	shortRun   = 20 * time.Millisecond
)

// runBurst sends one request at each of 16 entry VMs at once for an idle
// model, and repeats that with further models.
func runBurst(ctx context.Context, seed uint64) ([]Figure, error) {
	var fs []Figure
	for _, onDisk := range []bool{false, true} {
		d, err := directColdStart(ctx, onDisk)
		if err != nil {
			return nil, err
		}
		fs = append(fs, Figure{Policy: "direct", Name: sourceName(onDisk) + " cold start", Value: float64(d.Microseconds()) / 1000, Unit: "ms"})
	}
	own, err := burst(ctx, seed, product, drserve.Policies{})
	if err != nil {
		return nil, err
	}
	fs = append(fs, own...)
	base, err := burst(ctx, seed, "load-on-miss", drserve.Policies{Place: drplacement.LoadOnMiss})
	return append(fs, base...), err
}

func burst(ctx context.Context, seed uint64, policy string, p drserve.Policies) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: manyVMs, policies: p, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	var fs []Figure
	for _, onDisk := range []bool{false, true} {
		models, err := b.idleModels(ctx, "nordkabel", onDisk)
		if err != nil {
			return nil, err
		}
		models = models[:burstModels]
		name, best := sourceName(onDisk), drdemo.RemoteLoad
		if onDisk {
			best = drdemo.DiskLoad
		}
		before, _, _ := b.counts()
		r, err := b.load(ctx, seed, time.Duration(len(models))*burstGap, 0, drload.Account{
			Name: "nordkabel", IdleModels: models, Burst: true, MaxTokens: 1, TimeoutSeconds: coldTimeout,
		})
		if err != nil {
			return nil, err
		}
		loads, _, _ := b.counts()
		a := r.Accounts[0]
		fs = append(fs,
			Figure{Policy: policy, Name: name + " loads per burst", Value: float64(loads-before) / float64(len(models)), Unit: "loads"}.atMost(1),
			Figure{Policy: policy, Name: name + " cold start p50", Value: a.ColdStart.P50, Unit: "ms"},
			Figure{Policy: policy, Name: name + " cold start p99", Value: a.ColdStart.P99, Unit: "ms"}.atMost(coldFactor*float64(best.Milliseconds())),
			Figure{Policy: policy, Name: name + " refused", Value: refused(a), Unit: "requests"}.atMost(0),
		)
	}
	return fs, nil
}

func sourceName(onDisk bool) string {
	if onDisk {
		return "disk"
	}
	return "remote"
}
