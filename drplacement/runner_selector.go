package drplacement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// cachedStatusMaxAge is how long a status from an owner is used for further
// grants before the owner is asked again.
const cachedStatusMaxAge = 2 * time.Second

// Costs of one more replica on a runner. The runner with the lowest sum is
// chosen. A load from the weight store takes several times as long as one from
// disk. Oversubscribed memory costs more than that, because evictions are
// needed again at each wake-up.
const (
	costDisk          = 1.0  // the checkpoint is cached on disk
	costRemote        = 3.0  // the checkpoint is only in the weight store
	costOversubscribe = 4.0  // for each 100% by which the memory of all rights exceeds that of the runner
	costRight         = 0.25 // for each right on the runner
	costZone          = 1.0  // for each replica of the model in the same zone
	costUnknown       = 8.0  // the status of the runner is not known
)

// runnerSelector chooses runners for grants. It caches the statuses of runners,
// which it gets from their owners. It is safe for concurrent use.
type runnerSelector struct {
	placement *Placement
	mu        sync.Mutex
	statuses  map[string]cachedStatus // by runner
}

type cachedStatus struct {
	status    *drpb.PlacementStatus
	fetchedAt time.Time
}

func newRunnerSelector(placement *Placement) *runnerSelector {
	return &runnerSelector{placement: placement, statuses: make(map[string]cachedStatus)}
}

// choose returns the runner on which one more replica costs least, or false if
// there is none. It leaves out the runner exclude and runners that already have
// a right to the model. With requireFree it considers only runners that have
// the memory free now.
func (s *runnerSelector) choose(ctx context.Context, spec ModelSpec, exclude string, requireFree bool) (drmember.Backend, bool) {
	var backends []drmember.Backend
	for _, b := range s.placement.View.Backends(spec.Fleet) {
		_, has := s.placement.Ledger.RightsOn(b.VM)[spec.Name]
		if !b.Leaving && !has && b.VM != exclude && !s.placement.View.Gone(b.VM) {
			backends = append(backends, b)
		}
	}
	slices.SortFunc(backends, func(a, b drmember.Backend) int {
		x, y := xxhash.Sum64String(spec.Name+"\x00"+a.VM), xxhash.Sum64String(spec.Name+"\x00"+b.VM)
		if x > y {
			return -1
		}
		return 1
	})
	backends = backends[:min(len(backends), maxCandidateRunners)]
	s.refreshStatuses(ctx, backends)
	zones := make(map[string]int)
	for _, r := range s.placement.Ledger.Rights(spec.Name) {
		if b, ok := s.placement.backend(r.Runner); ok {
			zones[b.Zone]++
		}
	}
	var best drmember.Backend
	lowest, found := 0.0, false
	for _, b := range backends {
		cost, ok := s.cost(spec, b, requireFree)
		cost += costZone * float64(zones[b.Zone])
		if ok && (!found || cost < lowest) {
			best, lowest, found = b, cost, true
		}
	}
	return best, found
}

// cost returns the cost of a replica on a runner, without costZone, and whether
// the replica is possible there.
func (s *runnerSelector) cost(spec ModelSpec, backend drmember.Backend, requireFree bool) (float64, bool) {
	s.mu.Lock()
	status := s.statuses[backend.VM].status
	s.mu.Unlock()
	rights := s.placement.Ledger.RightsOn(backend.VM)
	cost := costRight * float64(len(rights))
	if status == nil {
		return cost + costUnknown, !requireFree
	}
	free := status.MemoryBytes - status.ReservedBytes
	if status.Leaving || spec.Bytes > status.MemoryBytes || requireFree && spec.Bytes > free {
		return 0, false
	}
	switch {
	case slices.Contains(status.CachedMemory, spec.Name):
	case slices.Contains(status.CachedDisk, spec.Name):
		cost += costDisk
	default:
		cost += costRemote
	}
	claimed := spec.Bytes
	for name := range rights {
		if other, ok := s.placement.Catalogue.Model(name); ok {
			claimed += other.Bytes
		}
	}
	if over := float64(claimed)/float64(status.MemoryBytes) - 1; over > 0 {
		cost += costOversubscribe * over
	}
	return cost, true
}

// refreshStatuses asks the owners of runners in parallel for the statuses that
// are not cached or too old. Runners whose owner does not answer within
// callTimeout keep the status that they had.
func (s *runnerSelector) refreshStatuses(ctx context.Context, backends []drmember.Backend) {
	ctx, cancel := s.placement.timeout(ctx, callTimeout)
	defer cancel()
	now := s.placement.Clock.Now()
	byOwner := make(map[string]*drpb.PlacementResidency)
	s.mu.Lock()
	for _, b := range backends {
		vm := s.placement.Ledger.Owner(b.VM).VM
		if vm == "" || now.Sub(s.statuses[b.VM].fetchedAt) < cachedStatusMaxAge && s.statuses[b.VM].status != nil {
			continue
		}
		if byOwner[vm] == nil {
			byOwner[vm] = &drpb.PlacementResidency{}
		}
		byOwner[vm].Watches = append(byOwner[vm].Watches, &drpb.PlacementResidency_Watch{Runner: b.VM})
	}
	s.mu.Unlock()
	var g sync.WaitGroup
	for vm, q := range byOwner {
		g.Go(func() {
			r, err := s.placement.callResidency(ctx, vm, q)
			if err != nil {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, st := range r.Statuses {
				s.statuses[st.Runner] = cachedStatus{st, now}
			}
		})
	}
	g.Wait()
}
