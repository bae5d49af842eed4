package drmeasure

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drengine"
)

// directFencingToken is the fencing token of direct calls. Any value is accepted, as the
// engines of a direct measurement have no owner with a higher one.
const directFencingToken = 1

// directColdStart measures a cold start without an entry VM, as the lower bound: it orders
// the load of a model from an engine, waits until the engine's state, which lags, shows the
// load as finished, and returns the time until the first token is read.
func directColdStart(ctx context.Context, onDisk bool) (time.Duration, error) {
	p, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: drdemo.Deployments()[deploymentName]})
	if err != nil {
		return 0, err
	}
	defer p.Close()
	engine := drengine.NewHTTP(drengine.HTTPConfig{Address: p.Engines[0].Address(), Clock: clock})
	state, err := engine.State(ctx, directFencingToken, 0, 0)
	if err != nil {
		return 0, err
	}
	model := directRemoteModel
	if onDisk {
		model = state.Cached.Disk[0]
	}
	start := clock.Now()
	if err := engine.Order(ctx, drengine.Order{Fence: directFencingToken, Op: drengine.Load, Replica: "direct", Model: model}); err != nil {
		return 0, err
	}
	for {
		if state, err = engine.State(ctx, directFencingToken, state.Version, time.Second); err != nil {
			return 0, err
		}
		if len(state.Replicas) > 0 && state.Replicas[0].State == drengine.Loaded {
			break
		}
	}
	stream, err := engine.Generate(ctx, drengine.Generation{ID: fmt.Sprint("direct-", model), Model: model, Prompt: "direct", MaxTokens: 1})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	_, err = stream.Next()
	return clock.Since(start), err
}

// directRemoteModel is in no engine's disk cache, so it is loaded from the weight store.
const directRemoteModel = "snorrute-roster-summer-nordkabel"
