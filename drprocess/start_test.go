package drprocess

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sample names what the tests use of a deployment.
type sample struct {
	account string
	// idle models are used by one test each.
	burst, killed, drained, cold string
	service                      string
	// barred is an account that may use neither burst nor service; public is a
	// route that needs no key.
	barred, public string
}

func (c *cluster) sample() sample {
	if c.Name == "fjordsnor" {
		return sample{
			account: "nordkabel", burst: "snorrute-redraft-aukra", killed: "snorrute-redraft-drag",
			drained: "snorrute-redraft-fedje", cold: "snorrute-bid-agder", service: "/bookings",
			barred: "fylkeskontoret", public: "/departures",
		}
	}
	return sample{
		account: "oficinas-recife", burst: "anexo-match-areia-branca", killed: "anexo-match-azul-jangada",
		drained: "anexo-match-bege-duna", cold: "anexo-shade-epoxi", service: "/orders",
		barred: "assistencia",
	}
}

// all runs f n times at once and fails the test at errors.
func all(t *testing.T, n int, f func(i int) error) {
	t.Helper()
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			if err := f(i); err != nil {
				t.Errorf("%d: %v", i, err)
			}
		})
	}
	running.Wait()
}

// Guards against a cold start that loads more than decided when all VMs
// receive the first requests at once (I1), and against swapped answers (I8).
func TestColdStart(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		model := c.coldModel(t, s.burst)
		before := c.loadsOf(t, model)
		all(t, 2*entryVMs, func(i int) error {
			q := question{key: key(s.account), model: model, prompt: prompt(t, i), tokens: 20, stream: i%2 == 0}
			return c.whole(q, c.ask(c.vms[i%entryVMs], q))
		})
		if n, decided := c.loadsOf(t, model)-before, c.config.Replicas(model).Max; n < 1 || n > decided {
			t.Errorf("I1: the burst caused %d loads of %s, decided are %d", n, model, decided)
		}
	})
}

// Guards against a keyed call that runs again when it is resent to every other
// VM (I10), and against an answer that differs from the first.
func TestKeyedCall(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		q := call{key: key(s.account), method: http.MethodPost, path: s.service, body: `{"seats":2}`, idempotencyKey: name(t)}
		first := c.call(c.vms[0], q)
		if first.status != http.StatusOK || first.replay {
			t.Fatalf("first call: %s", first)
		}
		all(t, entryVMs, func(i int) error {
			a := c.call(c.vms[i], q)
			if a.status != http.StatusOK || !a.replay || string(a.body) != string(first.body) {
				return fmt.Errorf("resend: %s: %q, want the replay of %q", a, a.body, first.body)
			}
			return nil
		})
		if n := c.executions(t)[name(t)]; n != 1 {
			t.Errorf("executed %d times", n)
		}
	})
}

// Guards against requests through other VMs that fail when a VM is killed
// which owns runners and holds shares, and against a replacement that does not
// serve.
func TestKilledVM(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		killed := c.vms[1]
		var once sync.Once
		all(t, entryVMs, func(i int) error {
			q := question{key: key(s.account), model: s.killed, prompt: prompt(t, i), tokens: 60, stream: true}
			q.event = func(n int) {
				if n == 10 {
					once.Do(killed.kill)
				}
			}
			v := c.vms[i]
			if v == killed {
				return nil
			}
			return c.whole(q, c.ask(v, q))
		})
		c.restart(t, killed)
		q := question{key: key(s.account), model: s.killed, prompt: prompt(t, entryVMs), tokens: 5}
		must(t, c.whole(q, c.ask(killed, q)))
	})
}

// Guards against a paid call that runs again, or is called not-run, when the VM
// that dispatched it is killed and the caller resends through others (I9, I10).
func TestKilledDuringPaidCall(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		for _, address := range c.services {
			faults(t, address, map[string]any{"delay": "500ms"})
		}
		killed := c.vms[7]
		const calls = 4
		call := func(i int) call {
			return call{
				key: key(s.account), method: http.MethodPost, path: s.service, body: fmt.Sprint(i),
				idempotencyKey: fmt.Sprintf("%s-%d", name(t), i), timeout: 5 * time.Second,
			}
		}
		all(t, calls+1, func(i int) error {
			if i == calls {
				time.Sleep(250 * time.Millisecond) // the calls are at the service
				killed.kill()
				return nil
			}
			if a := c.call(killed, call(i)); a.err == nil {
				return fmt.Errorf("the call ended before its VM was killed: %s", a)
			}
			return nil
		})
		all(t, calls*3, func(i int) error {
			q := call(i % calls)
			a := c.call(c.vms[8+i%3], q)
			if err := settledCall(q, a); err != nil {
				return err
			}
			if a.problem == nil && !a.replay || a.problem != nil && a.problem.Run != "may-have-run" {
				return fmt.Errorf("resend of a dispatched call: %s, replay %v", a, a.replay)
			}
			return nil
		})
		c.restart(t, killed)
	})
}

// Guards against a graceful shutdown that cuts streams or paid calls or exits
// with an error (I12).
func TestDrain(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		for _, address := range c.services {
			faults(t, address, map[string]any{"delay": "2s"})
		}
		v := c.vms[2]
		var once sync.Once
		all(t, 8, func(i int) error {
			if i == 0 {
				a := c.call(v, call{key: key(s.account), method: http.MethodPost, path: s.service, body: "x", idempotencyKey: name(t)})
				if a.status != http.StatusOK {
					return fmt.Errorf("paid call: %s", a)
				}
				return nil
			}
			q := question{key: key(s.account), model: s.drained, prompt: prompt(t, i), tokens: 150, stream: true}
			q.event = func(n int) {
				if n == 10 {
					once.Do(func() { v.signal(t, syscall.SIGTERM) })
				}
			}
			a := c.ask(v, q)
			if a.problem.is("draining") {
				return nil // reached the VM after the signal
			}
			return c.whole(q, a)
		})
		if code := v.exit(t, 30*time.Second); code != 0 {
			t.Errorf("exit code %d", code)
		}
		c.restart(t, v)
	})
}
