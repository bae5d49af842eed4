package drprocess

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// check checks what must hold after every test: replicas within the decided
// number (I1), memory (I2), keys (I5), refusals that say not-run (I9), and
// calls that may not be repeated (I10).
func (c *cluster) check(t *testing.T) {
	t.Helper()
	for _, p := range c.sampler.take() {
		t.Errorf("I1: %s", p)
	}
	generations := map[string]int{}
	for _, address := range c.engines {
		n := c.engineCounts(t, address)
		var st drengine.State
		must(t, within(startLimit, func() error { return get(address, "/v1/state", &st) }))
		if n.MostUsed > st.MemoryBytes {
			t.Errorf("I2: engine %s used %d of %d bytes", address, n.MostUsed, st.MemoryBytes)
		}
		for model, most := range n.MostReplicas {
			if decided := c.config.Replicas(c.base(model)).Max; most > decided {
				t.Errorf("I1: engine %s had %d replicas of %s, decided are %d", address, most, model, decided)
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
	for k, n := range c.executions(t) {
		if n > 1 {
			t.Errorf("I10: Idempotency-Key %s was executed %d times", k, n)
		}
	}
	for _, id := range c.refused.all() {
		if generations[id]+executions[id] > 0 {
			t.Errorf("I9: request %s was refused as not-run but ran: generations %d, executions %d", id, generations[id], executions[id])
		}
	}
	// Shows that the ids of requests lead to what backend servers counted.
	for _, id := range c.served.all() {
		if generations[id]+executions[id] == 0 {
			t.Errorf("request %s was answered but backend servers did not count it", id)
		}
	}
	c.checkKeys(t)
}

// checkKeys looks for callers' keys in what backend servers received.
func (c *cluster) checkKeys(t *testing.T) {
	t.Helper()
	for _, address := range append(append([]string{}, c.engines...), c.services...) {
		var out struct {
			Saw bool `json:"saw"`
		}
		must(t, get(address, "/v1/saw?text="+url.QueryEscape("drk_"), &out))
		if out.Saw {
			t.Errorf("I5: %s received a caller's key", address)
		}
	}
}

// executions returns how often each Idempotency-Key was executed.
func (c *cluster) executions(t testing.TB) map[string]int {
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
	must(t, get(address, "/v1/counts", &n))
	return n
}

func (c *cluster) serviceCounts(t testing.TB, address string) drstandin.ServiceCounts {
	t.Helper()
	var n drstandin.ServiceCounts
	must(t, get(address, "/v1/counts", &n))
	return n
}

// loadsOf returns the number of loads of the model so far.
func (c *cluster) loadsOf(t testing.TB, model string) int {
	t.Helper()
	sum := 0
	for _, address := range c.engines {
		sum += c.engineCounts(t, address).LoadsOf[model]
	}
	return sum
}

// coldModel returns a model of the same use as the given one that no engine
// has loaded.
func (c *cluster) coldModel(t testing.TB, like string) string {
	t.Helper()
	loaded := map[string]bool{}
	for _, model := range c.sampler.read() {
		loaded[model] = true
	}
	for _, model := range c.modelsLike(like) {
		if !loaded[model] {
			return model
		}
	}
	t.Fatal("all models are loaded")
	return ""
}

// name is the test's name with the number of the round, so that repeated tests
// do not meet the keys and prompts of earlier ones.
func name(t testing.TB) string { return fmt.Sprintf("%s-%d", t.Name(), round) }

// prompt returns a prompt that no other request has.
func prompt(t testing.TB, n int) string { return fmt.Sprintf("%s question %d", name(t), n) }
