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

func asVerdict(err error, e **drerror.Error) bool { return errors.As(err, e) }

// loadOnMiss is the baseline policy, for comparison measurements only. It
// looks for a runner that has the model loaded or loading, and else loads it
// on the runner with the most free memory, without any coordination.
type loadOnMiss struct{ p *Place }

func (l *loadOnMiss) wake(ctx context.Context, ky key, deadline time.Time) (Location, error) {
	m, _ := l.p.Catalogue.Model(ky.model)
	bs := slices.Clone(l.p.View.Backends(m.Fleet))
	rand.Shuffle(len(bs), func(i, j int) { bs[i], bs[j] = bs[j], bs[i] })
	for ctx.Err() == nil && l.p.Clock.Now().Before(deadline) {
		var best drmember.Backend
		var room drengine.State
		most, busy := int64(-1), false
		for _, b := range bs {
			s, err := l.p.Dial(b).State(ctx, 0, 0, 0)
			if err != nil || s.Leaving {
				continue
			}
			base, loaded := stateOf(s, key{model: ky.model}), stateOf(s, ky)
			if loaded == drengine.Loaded {
				return Location{Runner: b.VM, Address: b.Address, Fence: s.Fence}, nil
			}
			busy = busy || base == drengine.Loading || loaded == drengine.Loading
			free := s.MemoryBytes - s.UsedBytes
			if ky.adapter != "" && base == drengine.Loaded {
				free = s.MemoryBytes
			}
			if free > most {
				best, room, most = b, s, free
			}
		}
		if most >= 0 && !busy {
			l.load(ctx, best, room, ky, m.Bytes)
		}
		_ = l.p.Clock.Sleep(ctx, retryPause)
	}
	return Location{}, drerror.New(drerror.NotRun, drerror.Deadline, "model %q was not loaded before the deadline", ky.model)
}

// load evicts in the order of the engine's list until the replica fits.
func (l *loadOnMiss) load(ctx context.Context, b drmember.Backend, s drengine.State, ky key, bytes int64) {
	o := drengine.Order{Fence: s.Fence, Op: drengine.Load, Model: ky.model, Bytes: bytes}
	if ky.adapter != "" && stateOf(s, key{model: ky.model}) == drengine.Loaded {
		a, _ := l.p.Catalogue.Adapter(ky.adapter)
		o.Model, o.Base, o.Bytes = ky.adapter, ky.model, a.Bytes
	}
	o.Replica = fmt.Sprintf("%s/%s", o.Base, o.Model)
	free := s.MemoryBytes - s.UsedBytes
	for _, r := range s.Replicas {
		if free >= o.Bytes || r.Model == ky.model {
			continue
		}
		_ = l.p.Dial(b).Order(ctx, drengine.Order{Fence: s.Fence, Op: drengine.Unload, Replica: r.ID, Model: r.Model, Bytes: r.Bytes})
		free += r.Bytes
	}
	_ = l.p.Dial(b).Order(ctx, o)
}

func stateOf(s drengine.State, ky key) drengine.ReplicaState {
	for _, r := range s.Replicas {
		if r.Model == ky.model && r.Adapter == ky.adapter {
			return r.State
		}
	}
	return ""
}
