package drplacement

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
)

// asError reports whether the chain of err contains a *drerror.Error, and
// stores the first one in target.
func asError(err error, target **drerror.Error) bool { return errors.As(err, target) }

// loadOnMiss is the baseline policy, for comparison measurements only. It looks
// for a runner that has the model loaded or loading. If there is none, it loads
// the model on the runner with the most free memory, without any coordination.
type loadOnMiss struct{ placement *Placement }

func (l *loadOnMiss) wake(ctx context.Context, key modelKey, deadline time.Time) (Location, error) {
	m, _ := l.placement.Catalogue.Model(key.model)
	bs := slices.Clone(l.placement.View.Backends(m.Fleet))
	rand.Shuffle(len(bs), func(i, j int) { bs[i], bs[j] = bs[j], bs[i] })
	for ctx.Err() == nil && l.placement.Clock.Now().Before(deadline) {
		var best drmember.Backend
		var bestState drengine.State
		mostFree, busy := int64(-1), false
		for _, b := range bs {
			s, err := l.placement.Dial(b).State(ctx, 0, 0, 0)
			if err != nil || s.Leaving {
				continue
			}
			base, loaded := replicaState(s, modelKey{model: key.model}), replicaState(s, key)
			if loaded == drengine.Loaded {
				return Location{Runner: b.VM, Address: b.Address, Fence: s.Fence}, nil
			}
			busy = busy || base == drengine.Loading || loaded == drengine.Loading
			free := s.MemoryBytes - s.UsedBytes
			if key.adapter != "" && base == drengine.Loaded {
				free = s.MemoryBytes
			}
			if free > mostFree {
				best, bestState, mostFree = b, s, free
			}
		}
		if mostFree >= 0 && !busy {
			l.load(ctx, best, bestState, key, m.Bytes)
		}
		_ = l.placement.Clock.Sleep(ctx, retryPause)
	}
	return Location{}, drerror.New(drerror.NotRun, drerror.Deadline, "model %q was not loaded before the deadline", key.model)
}

// load orders a load and before it the unloads that free enough memory, in the
// order of the replica list of the engine. An adapter whose base model is not
// loaded leads to a load of the base model.
func (l *loadOnMiss) load(ctx context.Context, backend drmember.Backend, state drengine.State, key modelKey, bytes int64) {
	o := drengine.Order{Fence: state.Fence, Op: drengine.Load, Model: key.model, Bytes: bytes}
	if key.adapter != "" && replicaState(state, modelKey{model: key.model}) == drengine.Loaded {
		a, _ := l.placement.Catalogue.Adapter(key.adapter)
		o.Model, o.Base, o.Bytes = key.adapter, key.model, a.Bytes
	}
	o.Replica = fmt.Sprintf("%s/%s", o.Base, o.Model)
	free := state.MemoryBytes - state.UsedBytes
	for _, r := range state.Replicas {
		if free >= o.Bytes || r.Model == key.model {
			continue
		}
		_ = l.placement.Dial(backend).Order(ctx, drengine.Order{Fence: state.Fence, Op: drengine.Unload, Replica: r.ID, Model: r.Model, Bytes: r.Bytes})
		free += r.Bytes
	}
	_ = l.placement.Dial(backend).Order(ctx, o)
}

// replicaState returns the state of a replica on an engine, or an empty string
// if there is none.
func replicaState(state drengine.State, key modelKey) drengine.ReplicaState {
	for _, r := range state.Replicas {
		if r.Model == key.model && r.Adapter == key.adapter {
			return r.State
		}
	}
	return ""
}
