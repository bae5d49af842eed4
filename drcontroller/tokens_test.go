package drcontroller

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// reportTokens sends a report of a VM with one running request and returns the tokens of
// the other VMs' requests that the reply states.
func (w *controllerFixture) reportTokens(vm string, whole bool, running, unread uint32) [2]uint32 {
	reply := w.controller.Sync(context.Background(), vm, 1, &drpb.FleetSyncRequest{Whole: whole, Uses: []*drpb.FleetUse{{
		Runner: "r1", RunningTokens: running, UnreadTokens: unread,
		Replicas: []*drpb.FleetReplicaUse{{Model: "a", Running: 1}},
	}}})
	for _, l := range reply.GetLoads() {
		if l.GetRunner() == "r1" {
			return [2]uint32{l.GetRunningTokens(), l.GetUnreadTokens()}
		}
	}
	return [2]uint32{}
}

// Guards against tokens that are counted twice after a whole report, stay after they have
// fallen, or include those of the VM that is told.
func TestTokensOfOtherVMsAreReported(t *testing.T) {
	is := is.New(t)
	w := newControllerFixture(t)
	eventually(t, "the controller has planned and knows the runner", func() bool {
		w.controller.mu.Lock()
		defer w.controller.mu.Unlock()
		return w.controller.runnerStates["r1"] != nil
	})
	is.Equal(w.reportTokens("vm1", true, 9000, 8000), [2]uint32{})
	is.Equal(w.reportTokens("vm2", true, 700, 600), [2]uint32{9000, 8000})
	is.Equal(w.reportTokens("vm1", true, 9000, 0), [2]uint32{700, 600})
	is.Equal(w.reportTokens("vm2", false, 0, 0), [2]uint32{9000, 0})
	is.Equal(w.reportTokens("vm1", false, 0, 0), [2]uint32{})
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	is.Equal(len(w.controller.tokens), 0)
}
