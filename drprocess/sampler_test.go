package drprocess

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

const (
	samplePeriod = 200 * time.Millisecond
	// reportLag is more than the stand-in engines' lag in reporting changes.
	reportLag = 150 * time.Millisecond
)

// sampler watches how many replicas of each model exist in the fleet at the
// same time, and how much memory each engine uses.
type sampler struct {
	cluster  *cluster
	cancel   context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	problems []string
	samples  int
}

func newSampler(c *cluster) *sampler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sampler{cluster: c, cancel: cancel, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

func (s *sampler) stop() {
	s.cancel()
	<-s.done
}

func (s *sampler) run(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		s.sample()
		time.Sleep(samplePeriod)
	}
}

// replica identifies a replica on an engine.
type replica struct{ engine, instance, id string }

// sample reads all engines twice. A replica that both rounds show existed in
// the whole time between them, so that those replicas existed at once even
// though the engines are read one after the other.
func (s *sampler) sample() {
	first := s.readReplicas()
	time.Sleep(reportLag)
	second := s.readReplicas()
	counts := map[string]int{}
	for r, model := range second {
		if _, ok := first[r]; ok {
			counts[model]++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	for model, n := range counts {
		if decided := s.cluster.config.Replicas(model).Max; n > decided {
			s.problems = append(s.problems, fmt.Sprintf("%d replicas of %s, decided are %d", n, model, decided))
		}
	}
}

// readReplicas returns the replicas of models on all engines.
func (s *sampler) readReplicas() map[replica]string {
	found := map[replica]string{}
	for _, address := range s.cluster.engines {
		var st drengine.State
		if getJSON(address, "/v1/state", &st) != nil {
			continue // a crashed engine has no replicas
		}
		for _, r := range st.Replicas {
			if r.Adapter == "" {
				found[replica{address, st.Instance, r.ID}] = r.Model
			}
		}
	}
	return found
}

// takeProblems returns the problems found since the last call.
func (s *sampler) takeProblems() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.problems
	s.problems = nil
	return p
}
