package drmeasure

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drengine"
)

// directFencingToken exceeds no fencing token of a later owner, because the engines
// of a direct measurement have none.
const directFencingToken = 1

// directColdStart returns the shortest time in which a caller of the engine
// itself can order a load, see in the state, which lags, that it ended, and
// read the first token.
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

// directRemoteModel is on no engine's disk.
const directRemoteModel = "snorrute-roster-summer-nordkabel"
