package drprocess

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Guards against a paused VM that acts on what it owned before the pause when
// it resumes (I1, I2; loads of all models cause evictions), against requests through other VMs that wait for it
// (I3), and against a VM that does not serve again.
func TestPausedVM(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		paused := c.ownerOfMost(t)
		others := make([]*vm, 0, entryVMs)
		for _, v := range c.vms {
			if v != paused {
				others = append(others, v)
			}
		}
		for _, address := range c.engines {
			faults(t, address, map[string]any{"order-delay": "300ms"}) // the pause hits orders on their way
		}
		l := c.startLoad(t, s.account, c.config.ModelsFor(s.account), others)
		time.Sleep(time.Second)
		pause(t, paused, 12*time.Second) // longer than a lease of 8 s and all margins
		eventually(t, withdrawLimit, func() error {
			q := question{key: key(s.account), model: s.burst, prompt: prompt(t, -1), tokens: 5, timeout: 2 * time.Second}
			return c.whole(q, c.ask(paused, q))
		})
		l.report(t)
	})
}

// ownerOfMost returns the VM that owns the most runners.
func (c *cluster) ownerOfMost(t *testing.T) *vm {
	t.Helper()
	st, err := c.status(c.vms[0])
	must(t, err)
	counts := map[string]int{}
	for _, r := range st.Runners {
		counts[r.Owner]++
	}
	most := c.vms[0]
	for _, v := range c.vms {
		if counts[v.name] > counts[most.name] {
			most = v
		}
	}
	if counts[most.name] == 0 {
		t.Fatal("no VM owns a runner")
	}
	return most
}

// modelsLike returns the models with the same use as model.
func (c *cluster) modelsLike(model string) []string {
	m, _ := c.config.Model(model)
	var names []string
	for _, x := range c.config.Models() {
		if x.Labels["use"] == m.Labels["use"] {
			names = append(names, x.Name)
		}
	}
	return names
}

// Guards against requests that hang or are lost when engines stop answering
// in the middle of streams (I3, I8).
func TestEnginesDown(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		l := c.startLoad(t, s.account, c.modelsLike(s.burst)[:6], c.vms)
		for n := range 3 {
			off := faults(t, c.engines[n], map[string]any{"down": true})
			cut := faults(t, c.engines[n+3], map[string]any{"drop-after": 3})
			time.Sleep(time.Second)
			off()
			cut()
		}
		l.report(t)
	})
}

// Guards against requests that a crashing request takes down more than twice,
// although its caller resends it through other VMs.
func TestPoison(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		before := c.crashes(t)
		q := question{key: key(s.account), model: s.killed, prompt: prompt(t, 0) + poisonText, tokens: 5, timeout: 8 * time.Second}
		l := c.startLoad(t, s.account, []string{s.burst, s.drained}, c.vms)
		var last answer
		for i := range 8 {
			last = c.ask(c.vms[(3*i)%entryVMs], q)
			if last.problem == nil || last.took > q.timeout+deadlineMargin {
				t.Fatalf("resend %d: %s", i, last)
			}
			if last.status == 422 {
				break
			}
		}
		if !last.problem.is("crashes-backend") || last.problem.Run != "ran" {
			t.Errorf("the request is not blocked: %s", last)
		}
		for i := range entryVMs {
			if a := c.ask(c.vms[i], q); !a.problem.is("crashes-backend") {
				t.Errorf("%s does not block the request: %s", c.vms[i].name, a)
			}
		}
		if n := c.crashes(t) - before; n > 2 {
			t.Errorf("the request crashed %d engines, want at most 2", n)
		}
		l.report(t)
	})
}

func (c *cluster) crashes(t *testing.T) int {
	t.Helper()
	n := 0
	for _, address := range c.engines {
		n += c.engineCounts(t, address).Crashes
	}
	return n
}

// Guards against new work for a backend server that is leaving (I11).
func TestLeavingBackend(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		l := c.startLoad(t, s.account, c.modelsLike(s.burst)[:4], c.vms)
		engine, service := c.backend(0, true), c.backend(0, false)
		for _, b := range []backend{engine, service} {
			post(t, c.list, "/v1/vms", b.change("leaving"))
		}
		time.Sleep(5 * time.Second)
		generations := c.engineCounts(t, engine.address).Generations
		executions := c.serviceCounts(t, service.address).Total
		all(t, 2*entryVMs, func(i int) error {
			q := call{key: key(s.account), method: "GET", path: s.service}
			if a := c.call(c.vms[i%entryVMs], q); a.status != 200 {
				return fmt.Errorf("call: %s", a)
			}
			return nil
		})
		time.Sleep(time.Second)
		if n := c.engineCounts(t, engine.address).Generations - generations; n > 0 {
			t.Errorf("the leaving engine received %d generations after 5 s", n)
		}
		if n := c.serviceCounts(t, service.address).Total - executions; n > 0 {
			t.Errorf("the leaving service received %d calls after 5 s", n)
		}
		for _, b := range []backend{engine, service} {
			post(t, c.list, "/v1/vms", b.change("add"))
		}
		l.report(t)
	})
}

// pause stops a VM's process for d.
func pause(t *testing.T, v *vm, d time.Duration) {
	t.Helper()
	v.signal(t, syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(t, syscall.SIGCONT)
}
