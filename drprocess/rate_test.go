package drprocess

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Guards against an account that exceeds its rate and burst over all VMs
// together (I7) when holders of its shares are killed, restarted and paused
// while it sends ten times its rate.
func TestOverRate(t *testing.T) {
	const rate, burst, tokens = 400, 800, 10
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		spender := "drk_spender_of_this_test"
		m, _ := c.config.Model(s.burst)
		c.apply(t, c.vms[0], declare(
			t,
			map[string]any{"client-account": map[string]any{"name": "spender", "labels": map[string]string{"role": "spender"}}},
			map[string]any{"key": map[string]any{
				"id": "spender-" + c.Name, "account": "spender", "hash": drconfig.HashKey([]byte(c.Secret), spender),
			}},
			map[string]any{"selector": map[string]any{
				"name": "spending", "models": map[string]string{"use": m.Labels["use"]},
				"accounts": map[string]string{"role": "spender"}, "rate": rate, "burst": burst,
				"replicas": map[string]int{"min": 0, "max": 1},
			}},
		))
		time.Sleep(burst * time.Second / rate) // until the burst is available
		var mu sync.Mutex
		used, served, refused := 0, 0, 0
		begin := time.Now()
		end := begin.Add(5 * time.Second)
		var running sync.WaitGroup
		for i := range 4 * entryVMs {
			running.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					q := question{key: spender, model: s.burst, prompt: prompt(t, i*1000+n), tokens: tokens, timeout: 3 * time.Second}
					a := c.ask(c.vms[i%entryVMs], q)
					mu.Lock()
					if a.problem == nil && a.done {
						used += a.usage
						served++
					} else {
						refused++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		killed, paused := c.holdersOf(t, "spender")
		time.Sleep(time.Second)
		killed.kill()
		pause(t, paused, 2*time.Second)
		c.restart(t, killed)
		running.Wait()
		spent := time.Since(begin).Seconds()
		t.Logf("%d tokens in %.1f s of %.0f, %d requests served, %d refused", used, spent, rate*spent+burst, served, refused)
		if limit := rate*spent + burst; float64(used) > limit {
			t.Errorf("I7: %d tokens in %.1f s, limit %.0f", used, spent, limit)
		}
		if served == 0 || refused == 0 {
			t.Error("the account was not limited to a part of its requests")
		}
	})
}

// holdersOf returns two VMs that hold shares of the account's limit.
func (c *cluster) holdersOf(t *testing.T, account string) (*vm, *vm) {
	t.Helper()
	var found []*vm
	for _, v := range c.vms {
		st, err := c.status(v)
		must(t, err)
		for _, l := range st.Limits {
			if l.Account == account && l.Shares > 0 {
				found = append(found, v)
			}
		}
	}
	if len(found) < 2 {
		t.Fatal(fmt.Errorf("%d VMs hold shares of %s", len(found), account))
	}
	return found[0], found[1]
}
