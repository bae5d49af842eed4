package drprocess

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// checkInvariants checks what must hold after every test: no more replicas of a model
// than the decided maximum (I1), no engine above its memory (I2), no caller's key at
// a backend server (I5), no execution of a request refused as not-run (I9), and no
// second execution of a call with an Idempotency-Key (I10).
func (c *cluster) checkInvariants(t *testing.T) {
	t.Helper()
	for _, p := range c.sampler.takeProblems() {
		t.Errorf("I1: %s", p)
	}
	generations := map[string]int{}
	for _, address := range c.engines {
		n := c.engineCounts(t, address)
		var st drengine.State
		requireNoError(t, retryUntil(startLimit, func() error { return getJSON(address, "/v1/state", &st) }))
		if n.MostUsed > st.MemoryBytes {
			t.Errorf("I2: engine %s used %d of %d bytes", address, n.MostUsed, st.MemoryBytes)
		}
		for model, most := range n.MostReplicas {
			if maximum := c.config.Replicas(c.baseModel(model)).Max; most > maximum {
				t.Errorf("I1: engine %s had %d replicas of %s, the maximum is %d", address, most, model, maximum)
			}
		}
		for id, k := range n.IDs {
			request, _, _ := strings.Cut(id, ".")
			generations[request] += k
		}
	}
	executions := map[string]int{}
	for _, address := range c.services {
		for id, k := range c.serviceCounts(t, address).Requests {
			executions[id] += k
		}
	}
	for k, n := range c.executionsByKey(t) {
		if n > 1 {
			t.Errorf("I10: Idempotency-Key %s was executed %d times", k, n)
		}
	}
	for _, id := range c.refusedIDs.all() {
		if generations[id]+executions[id] > 0 {
			t.Errorf("I9: request %s was refused as not-run but ran: generations %d, executions %d", id, generations[id], executions[id])
		}
	}
	// Checks that backend servers counted the answered requests under their
	// ids, without which the check of refused requests would find nothing.
	for _, id := range c.servedIDs.all() {
		if generations[id]+executions[id] == 0 {
			t.Errorf("request %s was answered but backend servers did not count it", id)
		}
	}
	c.checkNoKeyReceived(t)
}

// checkNoKeyReceived asks all backend servers whether a request that they received
// contained a caller's key.
func (c *cluster) checkNoKeyReceived(t *testing.T) {
	t.Helper()
	for _, address := range append(append([]string{}, c.engines...), c.services...) {
		var out struct {
			Saw bool `json:"saw"`
		}
		requireNoError(t, getJSON(address, "/v1/saw?text="+url.QueryEscape("drk_"), &out))
		if out.Saw {
			t.Errorf("I5: %s received a caller's key", address)
		}
	}
}

// executionsByKey returns how often all services together executed the call of each
// Idempotency-Key.
func (c *cluster) executionsByKey(t testing.TB) map[string]int {
	t.Helper()
	sum := map[string]int{}
	for _, address := range c.services {
		for k, n := range c.serviceCounts(t, address).Keys {
			sum[k] += n
		}
	}
	return sum
}

func (c *cluster) engineCounts(t testing.TB, address string) drstandin.EngineCounts {
	t.Helper()
	var n drstandin.EngineCounts
	requireNoError(t, getJSON(address, "/v1/counts", &n))
	return n
}

func (c *cluster) serviceCounts(t testing.TB, address string) drstandin.ServiceCounts {
	t.Helper()
	var n drstandin.ServiceCounts
	requireNoError(t, getJSON(address, "/v1/counts", &n))
	return n
}

// loadCount returns how often the model was loaded so far, on all engines.
func (c *cluster) loadCount(t testing.TB, model string) int {
	t.Helper()
	sum := 0
	for _, address := range c.engines {
		sum += c.engineCounts(t, address).LoadsOf[model]
	}
	return sum
}

// coldModel returns a model with the same label "use" as the given one that is not
// loaded on any engine.
func (c *cluster) coldModel(t testing.TB, like string) string {
	t.Helper()
	loaded := map[string]bool{}
	for _, model := range c.sampler.readReplicas() {
		loaded[model] = true
	}
	for _, model := range c.modelsWithSameUse(like) {
		if !loaded[model] {
			return model
		}
	}
	t.Fatal("all models of this use are loaded")
	return ""
}

// uniqueName returns the test's name with the number of tests so far, so that a
// test that is repeated with -count does not reuse Idempotency-Keys and prompts.
func uniqueName(t testing.TB) string { return fmt.Sprintf("%s-%d", t.Name(), testRound) }

// uniquePrompt returns a prompt that no other request has, if n is used once in the
// test.
func uniquePrompt(t testing.TB, n int) string { return fmt.Sprintf("%s question %d", uniqueName(t), n) }
