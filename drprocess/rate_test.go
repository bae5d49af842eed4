package drprocess

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Guards against an account that uses more tokens over all VMs together than its
// rate and burst allow (I7) when one holder of its shares is killed and restarted
// and another is paused, while the account sends ten times its rate.
func TestOverRate(t *testing.T) {
	const rate, burst, tokens = 400, 800, 10
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		spenderKey := "drk_spender_of_this_test"
		m, _ := c.config.Model(s.sharedModel)
		c.applyFiles(t, c.vms[0], writeDeclarations(
			t,
			map[string]any{"client-account": map[string]any{"name": "spender", "labels": map[string]string{"role": "spender"}}},
			map[string]any{"key": map[string]any{
				"id": "spender-" + c.Name, "account": "spender", "hash": drconfig.HashKey([]byte(c.Secret), spenderKey),
			}},
			map[string]any{"selector": map[string]any{
				"name": "spending", "models": map[string]string{"use": m.Labels["use"]},
				"accounts": map[string]string{"role": "spender"}, "rate": rate, "burst": burst,
				"replicas": map[string]int{"min": 0, "max": 1},
			}},
		))
		time.Sleep(burst * time.Second / rate) // fills the bucket up to the burst
		var mu sync.Mutex
		used, served, refused := 0, 0, 0
		begin := time.Now()
		end := begin.Add(5 * time.Second)
		var running sync.WaitGroup
		for i := range 4 * entryVMs {
			running.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					q := completionRequest{key: spenderKey, model: s.sharedModel, prompt: uniquePrompt(t, i*1000+n), tokens: tokens, timeout: 3 * time.Second}
					a := c.requestCompletion(c.vms[i%entryVMs], q)
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
		killed, paused := c.shareHolders(t, "spender")
		time.Sleep(time.Second)
		killed.kill()
		pauseProcess(t, paused, 2*time.Second)
		c.restart(t, killed)
		running.Wait()
		elapsed := time.Since(begin).Seconds()
		t.Logf("%d tokens in %.1f s of %.0f, %d requests served, %d refused", used, elapsed, rate*elapsed+burst, served, refused)
		if limit := rate*elapsed + burst; float64(used) > limit {
			t.Errorf("I7: %d tokens in %.1f s, limit %.0f", used, elapsed, limit)
		}
		if served == 0 || refused == 0 {
			t.Error("want some requests served and some refused by the rate limit")
		}
	})
}

// shareHolders returns two VMs that hold shares of the account's rate limit.
func (c *cluster) shareHolders(t *testing.T, account string) (*vm, *vm) {
	t.Helper()
	var found []*vm
	for _, v := range c.vms {
		st, err := c.status(v)
		requireNoError(t, err)
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
