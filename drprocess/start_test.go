package drprocess

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fixture names the objects of a deployment that the tests use.
type fixture struct {
	account string
	// sharedModel is used by most tests. The other models are idle at first:
	// TestKilledVM and TestPoison use killTestModel, TestDrain and TestPoison
	// drainTestModel, and TestLogDown logDownTestModel.
	sharedModel, killTestModel, drainTestModel, logDownTestModel string
	serviceRoute                                                 string
	// unauthorizedAccount may use neither sharedModel nor serviceRoute.
	// publicRoute needs no key; it is empty if the deployment has none.
	unauthorizedAccount, publicRoute string
}

func (c *cluster) fixture() fixture {
	if c.Name == "fjordsnor" {
		return fixture{
			account: "nordkabel", sharedModel: "snorrute-redraft-aukra", killTestModel: "snorrute-redraft-drag",
			drainTestModel: "snorrute-redraft-fedje", logDownTestModel: "snorrute-bid-agder", serviceRoute: "/bookings",
			unauthorizedAccount: "fylkeskontoret", publicRoute: "/departures",
		}
	}
	return fixture{
		account: "oficinas-recife", sharedModel: "anexo-match-areia-branca", killTestModel: "anexo-match-azul-jangada",
		drainTestModel: "anexo-match-bege-duna", logDownTestModel: "anexo-shade-epoxi", serviceRoute: "/orders",
		unauthorizedAccount: "assistencia",
	}
}

// runConcurrently calls f with 0 to n-1 at the same time, waits for all calls, and
// reports their errors as failures of the test.
func runConcurrently(t *testing.T, n int, f func(i int) error) {
	t.Helper()
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			if err := f(i); err != nil {
				t.Errorf("concurrent call %d: %v", i, err)
			}
		})
	}
	running.Wait()
}

// Guards against more loads of a model than its maximum of replicas when all VMs
// receive its first requests at once (I1), and against an answer that belongs to
// another request (I8).
func TestColdStart(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		model := c.coldModel(t, s.sharedModel)
		before := c.loadCount(t, model)
		runConcurrently(t, 2*entryVMs, func(i int) error {
			q := completionRequest{key: demoKey(s.account), model: model, prompt: uniquePrompt(t, i), tokens: 20, stream: i%2 == 0}
			return c.checkComplete(q, c.requestCompletion(c.vms[i%entryVMs], q))
		})
		if n, maximum := c.loadCount(t, model)-before, c.config.Replicas(model).Max; n < 1 || n > maximum {
			t.Errorf("I1: simultaneous requests caused %d loads of %s, want 1 to %d", n, model, maximum)
		}
	})
}

// Guards against a keyed call that is executed again when its caller resends it
// through all VMs (I10), and against a replayed answer that differs from the first.
func TestKeyedCall(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		q := serviceCall{key: demoKey(s.account), method: http.MethodPost, path: s.serviceRoute, body: `{"seats":2}`, idempotencyKey: uniqueName(t)}
		first := c.callService(c.vms[0], q)
		if first.status != http.StatusOK || first.replayed {
			t.Fatalf("first call: %s", first)
		}
		runConcurrently(t, entryVMs, func(i int) error {
			a := c.callService(c.vms[i], q)
			if a.status != http.StatusOK || !a.replayed || string(a.body) != string(first.body) {
				return fmt.Errorf("resend: %s: %q, want the replay of %q", a, a.body, first.body)
			}
			return nil
		})
		if n := c.executionsByKey(t)[uniqueName(t)]; n != 1 {
			t.Errorf("the keyed call was executed %d times, want 1", n)
		}
	})
}

// Guards against requests through other VMs that fail when a VM is killed that may
// own their runners and hold shares of their account's limit. Also guards against a
// replacement that does not serve.
func TestKilledVM(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		killed := c.vms[1]
		var once sync.Once
		runConcurrently(t, entryVMs, func(i int) error {
			q := completionRequest{key: demoKey(s.account), model: s.killTestModel, prompt: uniquePrompt(t, i), tokens: 60, stream: true}
			q.onEvent = func(n int) {
				if n == 10 {
					once.Do(killed.kill)
				}
			}
			v := c.vms[i]
			if v == killed {
				return nil
			}
			return c.checkComplete(q, c.requestCompletion(v, q))
		})
		c.restart(t, killed)
		q := completionRequest{key: demoKey(s.account), model: s.killTestModel, prompt: uniquePrompt(t, entryVMs), tokens: 5}
		requireNoError(t, c.checkComplete(q, c.requestCompletion(killed, q)))
	})
}

// Guards against a paid call that is executed again, or is refused as not-run, when
// the VM that dispatched it is killed and the caller resends it through other VMs
// (I9, I10).
func TestKilledDuringPaidCall(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		for _, address := range c.services {
			injectFaults(t, address, map[string]any{"delay": "500ms"})
		}
		killed := c.vms[7]
		const calls = 4
		newCall := func(i int) serviceCall {
			return serviceCall{
				key: demoKey(s.account), method: http.MethodPost, path: s.serviceRoute, body: fmt.Sprint(i),
				idempotencyKey: fmt.Sprintf("%s-%d", uniqueName(t), i), timeout: 5 * time.Second,
			}
		}
		runConcurrently(t, calls+1, func(i int) error {
			if i == calls {
				time.Sleep(250 * time.Millisecond) // until the calls are at the service
				killed.kill()
				return nil
			}
			if a := c.callService(killed, newCall(i)); a.err == nil {
				return fmt.Errorf("the call ended before its VM was killed: %s", a)
			}
			return nil
		})
		runConcurrently(t, calls*3, func(i int) error {
			q := newCall(i % calls)
			a := c.callService(c.vms[8+i%3], q)
			if err := checkSettledCall(q, a); err != nil {
				return err
			}
			if a.problem == nil && !a.replayed || a.problem != nil && a.problem.Run != "may-have-run" {
				return fmt.Errorf("resend of a dispatched call: %s, replay %v", a, a.replayed)
			}
			return nil
		})
		c.restart(t, killed)
	})
}

// Guards against a drain that cuts running streams or paid calls, or ends with an
// exit code other than 0 (I12).
func TestDrain(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		for _, address := range c.services {
			injectFaults(t, address, map[string]any{"delay": "2s"})
		}
		v := c.vms[2]
		var once sync.Once
		runConcurrently(t, 8, func(i int) error {
			if i == 0 {
				a := c.callService(v, serviceCall{key: demoKey(s.account), method: http.MethodPost, path: s.serviceRoute, body: "x", idempotencyKey: uniqueName(t)})
				if a.status != http.StatusOK {
					return fmt.Errorf("paid call: %s", a)
				}
				return nil
			}
			q := completionRequest{key: demoKey(s.account), model: s.drainTestModel, prompt: uniquePrompt(t, i), tokens: 150, stream: true}
			q.onEvent = func(n int) {
				if n == 10 {
					once.Do(func() { v.signal(t, syscall.SIGTERM) })
				}
			}
			a := c.requestCompletion(v, q)
			if a.problem.hasType("draining") {
				return nil // reached the VM after the signal
			}
			return c.checkComplete(q, a)
		})
		if code := v.exit(t, 30*time.Second); code != 0 {
			t.Errorf("exit code of the drained VM: got %d, want 0", code)
		}
		c.restart(t, v)
	})
}
