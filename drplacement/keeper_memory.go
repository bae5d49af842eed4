package drplacement

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// reserved returns the bytes that are loaded, loading or may be loaded by an
// order on its way.
func (k *keeper) reserved() int64 {
	byID := make(map[string]int64)
	var listed int64
	for _, r := range k.state.Replicas {
		byID[r.ID] = r.Bytes
		listed += r.Bytes
	}
	for _, l := range k.loads {
		byID[l.replica] = max(byID[l.replica], l.bytes)
	}
	for id, d := range k.doubts {
		byID[id] = max(byID[id], d.bytes)
	}
	for _, in := range k.intents {
		if !in.Unload {
			byID[in.Replica] = max(byID[in.Replica], in.Bytes)
		}
	}
	// Memory in use beyond the listed replicas, such as an unload under way.
	total := max(0, k.state.UsedBytes-listed)
	for _, b := range byID {
		total += b
	}
	return total
}

// victim is what one eviction frees: an adapter, or a model with its adapters.
type victim struct {
	replicas []drengine.Replica
	bytes    int64
	last     time.Time
}

// victims returns what may be evicted, least recently used first.
func (k *keeper) victims(keep string) []victim {
	var vs []victim
	for _, r := range k.state.Replicas {
		ky := key{r.Model, r.Adapter}
		if r.State != drengine.Loaded || k.evicting(r.ID) || k.inDoubt(r.ID) || k.needed(ky) || r.Adapter == "" && r.Model == keep {
			continue
		}
		v := victim{last: k.lastUse(ky)}
		for _, a := range k.state.Replicas {
			if a.ID == r.ID || r.Adapter == "" && a.Adapter != "" && a.Model == r.Model {
				v.replicas = append(v.replicas, a)
				v.bytes += a.Bytes
			}
		}
		// Adapters are unloaded before their base.
		slices.SortFunc(v.replicas, func(a, b drengine.Replica) int { return len(b.Adapter) - len(a.Adapter) })
		vs = append(vs, v)
	}
	slices.SortFunc(vs, func(a, b victim) int { return a.last.Compare(b.last) })
	return vs
}

// inDoubt reports whether a load of the replica may still arrive, so that an
// unload would not free its memory.
func (k *keeper) inDoubt(id string) bool {
	_, doubted := k.doubts[id]
	return doubted || slices.ContainsFunc(k.intents, func(in Intent) bool { return in.Replica == id && !in.Unload })
}

func (k *keeper) evicting(id string) bool {
	_, ok := k.unloads[id]
	return ok
}

// needed reports whether a wake-up or a load depends on ky, or it was in use
// just now.
func (k *keeper) needed(ky key) bool {
	for l := range k.loads {
		if l == ky || ky.adapter == "" && l.model == ky.model {
			return true
		}
	}
	recent := k.now().Sub(k.lastUse(ky)) < inUse
	k.mu.Lock()
	defer k.mu.Unlock()
	for w := range k.wants {
		if w == ky || ky.adapter == "" && w.model == ky.model {
			return true
		}
	}
	return recent
}

// lastUse returns the last use of an adapter, or of a model and its adapters.
func (k *keeper) lastUse(ky key) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.uses[ky]
}

// makeRoom reports whether bytes fit, and whether they will fit after
// evictions, which it orders. Nothing is evicted if that would not suffice.
func (k *keeper) makeRoom(ctx context.Context, bytes int64, keep string) (fits, coming bool) {
	missing := k.reserved() + bytes - k.state.MemoryBytes
	if missing <= 0 {
		return true, true
	}
	for _, r := range k.state.Replicas {
		if k.evicting(r.ID) {
			missing -= r.Bytes
		}
	}
	if missing <= 0 {
		return false, true
	}
	var chosen []drengine.Replica
	for _, v := range k.victims(keep) {
		if missing <= 0 {
			break
		}
		for _, r := range v.replicas {
			if !slices.ContainsFunc(chosen, func(c drengine.Replica) bool { return c.ID == r.ID }) {
				chosen = append(chosen, r)
				missing -= r.Bytes
			}
		}
	}
	if missing > 0 {
		return false, false
	}
	for _, r := range chosen {
		k.unload(ctx, r, causeMemory)
	}
	return false, true
}
