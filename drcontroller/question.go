package drcontroller

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// maxQuestions is how many runners are asked for their state at once. With many more
// none of them answers in time, because each question opens a connection.
const maxQuestions = 64

// question is a runner that must report its state before it gets orders.
type question struct {
	runner *drfleet.Runner
	state  *runnerState
}

// mayAsk reports whether the runner must report its state and can be asked now.
func (s *runnerState) mayAsk(now time.Time) bool {
	return s.needsReport && !s.querying && s.swap == nil && len(s.loadingAdapters) == 0 && !now.Before(s.retryAt)
}

// orderQuestions puts the runners first that hold what VMs wait for or that run
// requests. The caller holds mu.
func (c *Controller) orderQuestions() {
	if len(c.questions) <= maxQuestions {
		return
	}
	wanted := make(map[usedModel]bool)
	for _, v := range c.vms {
		for _, w := range v.wants {
			wanted[usedModel{w.GetReplica().GetService(), w.GetReplica().GetModel()}] = true
		}
	}
	rank := func(q question) int {
		switch {
		case slices.ContainsFunc(modelsOf(q.runner), func(m usedModel) bool { return wanted[m] }):
			return 0
		case c.running.byRunner[q.runner.ID] > 0:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(c.questions, func(a, b question) int { return cmp.Compare(rank(a), rank(b)) })
}

// askRunners asks the next runners, as many as may be asked at once. The caller holds
// mu.
func (c *Controller) askRunners() {
	for len(c.questions) > 0 && c.asking < maxQuestions && c.ctx.Err() == nil {
		q, now := c.questions[0], c.Clock.Now()
		c.questions = c.questions[1:]
		if c.runnerStates[q.runner.ID] != q.state || !q.state.mayAsk(now) {
			continue
		}
		q.state.retryAt, q.state.querying = now.Add(reportRetryPause), true
		c.asking++
		c.wg.Go(func() { c.ask(q) })
	}
}

// ask asks one runner, and the next one afterwards.
func (c *Controller) ask(q question) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.asking--
		c.askRunners()
	}()
	c.queryRunner(q.runner, q.state)
}
