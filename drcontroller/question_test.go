package drcontroller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

// slowEngines answers each question after a while and counts them.
type slowEngines struct {
	*fakeEngines
	mu            sync.Mutex
	asking, most  int
	asked         []string
	answersBefore chan struct{} // questions wait until it is closed
}

func (e *slowEngines) Report(ctx context.Context, r *drfleet.Runner) (drscheduler.Report, error) {
	e.mu.Lock()
	e.asking++
	e.most = max(e.most, e.asking)
	e.asked = append(e.asked, r.ID)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.asking--
	}()
	select {
	case <-e.answersBefore:
	case <-ctx.Done():
		return drscheduler.Report{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return drscheduler.Report{Started: r.Started, Replicas: r.Replicas}, nil
}

// Guards against a new controller that asks thousands of runners at once, so that none
// answers in time, and against one that asks those last whose models VMs wait for.
func TestQuestionsAreBounded(t *testing.T) {
	const runners = 1000
	is := is.New(t)
	engines := &slowEngines{fakeEngines: &fakeEngines{}, answersBefore: make(chan struct{})}
	w := newControllerFixture(t, func(c *ControllerConfig) { c.Engines = engines })
	for i := range runners {
		model := "a"
		if i == runners-1 {
			model = "d"
		}
		w.view.OfferRunner(&drfleet.Runner{
			ID: fmt.Sprintf("s%04d", i), Service: "llm", Started: 1, Replicas: []drfleet.Replica{{Model: model}},
		}, drfleetview.FromRunner)
	}
	w.reportWant("d")
	eventually(t, "as many are asked as may be at once", func() bool {
		engines.mu.Lock()
		defer engines.mu.Unlock()
		return engines.asking >= maxQuestions
	})
	eventually(t, "the runner with the wanted model is the next one or has been asked", func() bool {
		w.controller.mu.Lock()
		defer w.controller.mu.Unlock()
		s, q := w.controller.runnerStates["s0999"], w.controller.questions
		return s != nil && (s.querying || len(q) > 0 && q[0].state == s)
	})
	time.Sleep(100 * time.Millisecond) // more plans
	close(engines.answersBefore)
	eventually(t, "all have reported", func() bool {
		w.controller.mu.Lock()
		defer w.controller.mu.Unlock()
		n := 0
		for _, s := range w.controller.runnerStates {
			if s.reported {
				n++
			}
		}
		return n == runners+1
	})
	engines.mu.Lock()
	defer engines.mu.Unlock()
	is.True(engines.most <= maxQuestions)
	for i, id := range engines.asked {
		if id == "s0999" {
			is.True(i < 2*maxQuestions) // as many are asked at once, in any order
		}
	}
}
