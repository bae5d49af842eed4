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
	// reportLag is longer than the stand-in engines take to report a change.
	reportLag = 150 * time.Millisecond
)

// sampler checks in the background that no more replicas of each model exist in the
// fleet at the same time than the configuration allows.
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

// replica identifies a replica on one instance of an engine.
type replica struct{ engine, instance, id string }

// sample reads all engines twice, one after the other, and counts the replicas that
// both readings show. Each of these existed during the whole time between the two
// readings, so all of them existed at the same time.
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
		if maximum := s.cluster.config.Replicas(model).Max; n > maximum {
			s.problems = append(s.problems, fmt.Sprintf("%d replicas of %s, the maximum is %d", n, model, maximum))
		}
	}
}

// readReplicas returns the model of each replica on all engines, without those of
// adapters.
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

// takeProblems returns the problems found since its last call and forgets them.
func (s *sampler) takeProblems() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.problems
	s.problems = nil
	return p
}
