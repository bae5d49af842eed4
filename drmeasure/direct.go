package drmeasure

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drengine"
)

// directFence exceeds no fencing token of a later owner, because the engines
// of a direct measurement have none.
const directFence = 1

// directColdStart returns the shortest time in which a caller of the engine
// itself can order a load, see in the state, which lags, that it ended, and
// read the first token.
func directColdStart(ctx context.Context, onDisk bool) (time.Duration, error) {
	p, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: drdemo.Deployments()[deployment]})
	if err != nil {
		return 0, err
	}
	defer p.Close()
	e := drengine.NewHTTP(drengine.HTTPConfig{Address: p.Engines[0].Address(), Clock: clock})
	s, err := e.State(ctx, directFence, 0, 0)
	if err != nil {
		return 0, err
	}
	model := directRemoteModel
	if onDisk {
		model = s.Cached.Disk[0]
	}
	start := clock.Now()
	if err := e.Order(ctx, drengine.Order{Fence: directFence, Op: drengine.Load, Replica: "direct", Model: model}); err != nil {
		return 0, err
	}
	for {
		if s, err = e.State(ctx, directFence, s.Version, time.Second); err != nil {
			return 0, err
		}
		if len(s.Replicas) > 0 && s.Replicas[0].State == drengine.Loaded {
			break
		}
	}
	t, err := e.Generate(ctx, drengine.Generation{ID: fmt.Sprint("direct-", model), Model: model, Prompt: "direct", MaxTokens: 1})
	if err != nil {
		return 0, err
	}
	defer t.Close()
	_, err = t.Next()
	return clock.Since(start), err
}

// directRemoteModel is on no engine's disk.
const directRemoteModel = "snorrute-roster-summer-nordkabel"
