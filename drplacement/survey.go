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

// surveyMaxAge is how long the answer of an owner is used for further grants.
const surveyMaxAge = 2 * time.Second

// Costs in the choice of a runner. A load from the weight store takes several
// times as long as one from disk, and evictions are paid at each wake-up.
const (
	costDisk          = 1.0
	costRemote        = 3.0
	costOversubscribe = 4.0 // for each time that the rights fill the memory again
	costRight         = 0.25
	costZone          = 1.0 // for each replica of the model in the same zone
	costUnknown       = 8.0
)

// survey knows the statuses of runners that planners choose from.
type survey struct {
	p  *Place
	mu sync.Mutex
	// statuses by runner.
	statuses map[string]surveyEntry
}

type surveyEntry struct {
	status *drpb.PlacementStatus
	at     time.Time
}

func newSurvey(p *Place) *survey {
	return &survey{p: p, statuses: make(map[string]surveyEntry)}
}

// choose returns the runner on which one more replica costs least. With roomy,
// only runners qualify that have the memory free now.
func (s *survey) choose(ctx context.Context, m ModelSpec, exclude string, roomy bool) (drmember.Backend, bool) {
	var bs []drmember.Backend
	for _, b := range s.p.View.Backends(m.Fleet) {
		_, has := s.p.Ledger.RightsOn(b.VM)[m.Name]
		if !b.Leaving && !has && b.VM != exclude && !s.p.View.Gone(b.VM) {
			bs = append(bs, b)
		}
	}
	slices.SortFunc(bs, func(a, b drmember.Backend) int {
		x, y := xxhash.Sum64String(m.Name+"\x00"+a.VM), xxhash.Sum64String(m.Name+"\x00"+b.VM)
		if x > y {
			return -1
		}
		return 1
	})
	bs = bs[:min(len(bs), surveyed)]
	s.ask(ctx, bs)
	zones := make(map[string]int)
	for _, r := range s.p.Ledger.Rights(m.Name) {
		if b, ok := s.p.backend(r.Runner); ok {
			zones[b.Zone]++
		}
	}
	var best drmember.Backend
	lowest, found := 0.0, false
	for _, b := range bs {
		c, ok := s.cost(m, b, roomy)
		c += costZone * float64(zones[b.Zone])
		if ok && (!found || c < lowest) {
			best, lowest, found = b, c, true
		}
	}
	return best, found
}

// cost returns the cost of a replica on b and whether it is possible.
func (s *survey) cost(m ModelSpec, b drmember.Backend, roomy bool) (float64, bool) {
	s.mu.Lock()
	st := s.statuses[b.VM].status
	s.mu.Unlock()
	rights := s.p.Ledger.RightsOn(b.VM)
	c := costRight * float64(len(rights))
	if st == nil {
		return c + costUnknown, !roomy
	}
	free := st.MemoryBytes - st.ReservedBytes
	if st.Leaving || m.Bytes > st.MemoryBytes || roomy && m.Bytes > free {
		return 0, false
	}
	switch {
	case slices.Contains(st.CachedMemory, m.Name):
	case slices.Contains(st.CachedDisk, m.Name):
		c += costDisk
	default:
		c += costRemote
	}
	claimed := m.Bytes
	for name := range rights {
		if other, ok := s.p.Catalogue.Model(name); ok {
			claimed += other.Bytes
		}
	}
	if over := float64(claimed)/float64(st.MemoryBytes) - 1; over > 0 {
		c += costOversubscribe * over
	}
	return c, true
}

// ask refreshes the statuses of runners from their owners, in parallel.
func (s *survey) ask(ctx context.Context, bs []drmember.Backend) {
	ctx, cancel := s.p.timeout(ctx, callTimeout)
	defer cancel()
	now := s.p.Clock.Now()
	byOwner := make(map[string]*drpb.PlacementResidency)
	s.mu.Lock()
	for _, b := range bs {
		vm := s.p.Ledger.Owner(b.VM).VM
		if vm == "" || now.Sub(s.statuses[b.VM].at) < surveyMaxAge && s.statuses[b.VM].status != nil {
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
			r, err := s.p.callResidency(ctx, vm, q)
			if err != nil {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, st := range r.Statuses {
				s.statuses[st.Runner] = surveyEntry{st, now}
			}
		})
	}
	g.Wait()
}
