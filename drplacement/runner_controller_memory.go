package drplacement

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// reservedBytes returns the memory of replicas that are loaded, loading or may
// get loaded by an order on its way. A replica that appears in several of these
// counts once.
func (rc *runnerController) reservedBytes() int64 {
	byID := make(map[string]int64)
	var listed int64
	for _, r := range rc.state.Replicas {
		byID[r.ID] = r.Bytes
		listed += r.Bytes
	}
	for _, l := range rc.loads {
		byID[l.replica] = max(byID[l.replica], l.bytes)
	}
	for id, d := range rc.unresolvedOrders {
		byID[id] = max(byID[id], d.bytes)
	}
	for _, in := range rc.intents {
		if !in.Unload {
			byID[in.Replica] = max(byID[in.Replica], in.Bytes)
		}
	}
	// Memory in use beyond the listed replicas also counts, such as that of an
	// unload under way.
	total := max(0, rc.state.UsedBytes-listed)
	for _, b := range byID {
		total += b
	}
	return total
}

// evictionCandidate is what one eviction unloads: an adapter, or a model with
// its adapters.
type evictionCandidate struct {
	replicas []drengine.Replica
	bytes    int64
	lastUse  time.Time
}

// evictionCandidates returns what may be evicted, least recently used first. It
// spares the model keepModel, but not adapters on it.
func (rc *runnerController) evictionCandidates(keepModel string) []evictionCandidate {
	var vs []evictionCandidate
	for _, r := range rc.state.Replicas {
		key := modelKey{r.Model, r.Adapter}
		if r.State != drengine.Loaded || rc.unloadOrdered(r.ID) || rc.orderUnresolved(r.ID) || rc.needed(key) || r.Adapter == "" && r.Model == keepModel {
			continue
		}
		v := evictionCandidate{lastUse: rc.lastUse(key)}
		for _, a := range rc.state.Replicas {
			if a.ID == r.ID || r.Adapter == "" && a.Adapter != "" && a.Model == r.Model {
				v.replicas = append(v.replicas, a)
				v.bytes += a.Bytes
			}
		}
		// Adapters are unloaded before their base model.
		slices.SortFunc(v.replicas, func(a, b drengine.Replica) int { return len(b.Adapter) - len(a.Adapter) })
		vs = append(vs, v)
	}
	slices.SortFunc(vs, func(a, b evictionCandidate) int { return a.lastUse.Compare(b.lastUse) })
	return vs
}

// orderUnresolved reports whether any order for the replica is unresolved or an
// intent to load it is open. A load may then still arrive, so that an unload
// would not free the replica's memory for good.
func (rc *runnerController) orderUnresolved(replica string) bool {
	_, unresolved := rc.unresolvedOrders[replica]
	return unresolved || slices.ContainsFunc(rc.intents, func(in Intent) bool { return in.Replica == replica && !in.Unload })
}

func (rc *runnerController) unloadOrdered(replica string) bool {
	_, ok := rc.unloadOrderedAt[replica]
	return ok
}

// needed reports whether a wake request or a load depends on a model or
// adapter, or whether it was used within recentUseWindow.
func (rc *runnerController) needed(key modelKey) bool {
	for l := range rc.loads {
		if l == key || key.adapter == "" && l.model == key.model {
			return true
		}
	}
	recent := rc.now().Sub(rc.lastUse(key)) < recentUseWindow
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for w := range rc.wakeRequests {
		if w == key || key.adapter == "" && w.model == key.model {
			return true
		}
	}
	return recent
}

// lastUse returns the last use of an adapter, or of a model or any adapter on
// it.
func (rc *runnerController) lastUse(key modelKey) time.Time {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.lastUses[key]
}

// makeRoom orders the evictions that a load of the given size needs. fits
// reports whether the memory is free now, willFit whether it is free now or
// will be after evictions. If evictions would not free enough memory, nothing
// is evicted.
func (rc *runnerController) makeRoom(ctx context.Context, bytes int64, keepModel string) (fits, willFit bool) {
	missing := rc.reservedBytes() + bytes - rc.state.MemoryBytes
	if missing <= 0 {
		return true, true
	}
	for _, r := range rc.state.Replicas {
		if rc.unloadOrdered(r.ID) {
			missing -= r.Bytes
		}
	}
	if missing <= 0 {
		return false, true
	}
	var chosen []drengine.Replica
	for _, v := range rc.evictionCandidates(keepModel) {
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
		rc.unload(ctx, r, causeMemory)
	}
	return false, true
}
