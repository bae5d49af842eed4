package drcontroller

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against overlooking that a runner leaves because it has said so only in its
// answers to orders or in its reports.
func TestLeavingIsHeardInAllAnswers(t *testing.T) {
	for name, speak := range map[string]func(r *fakeRunner){
		"answer to an order": func(r *fakeRunner) { r.saysLeavingInAnswers = true },
		"report":             func(r *fakeRunner) { r.saysLeavingInReports = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newControllerFixture(t)
			w.engines.mu.Lock()
			speak(w.engines.runners["r1"])
			w.engines.mu.Unlock()
			w.reportWant("c")
			eventually(t, "the runner counts as leaving", func() bool { return w.view.LeavingCount("llm") == 1 })
			r, _ := w.view.Runner("r1")
			is.True(r.Draining)
			sent := len(w.engines.sentOrders())
			w.reportWant("d")
			w.controller.plan()
			is.True(len(w.engines.sentOrders()) <= sent+1) // one may have been planned before
		})
	}
}
