package drprocess

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Guards against a VM that resumes after a pause and still loads or unloads models
// on runners that other VMs own by then (I1, I2); the load uses all models to cause
// evictions. Also guards against requests through other VMs that wait for the
// paused VM (I3), and against a VM that does not serve after the pause.
func TestPausedVM(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		paused := c.ownerOfMostRunners(t)
		others := make([]*vm, 0, entryVMs)
		for _, v := range c.vms {
			if v != paused {
				others = append(others, v)
			}
		}
		for _, address := range c.engines {
			injectFaults(t, address, map[string]any{"order-delay": "300ms"}) // so that orders are on their way when the pause begins
		}
		l := c.startLoad(t, s.account, c.config.ModelsFor(s.account), others)
		time.Sleep(time.Second)
		pauseProcess(t, paused, 12*time.Second) // longer than a lease of 8 s with all margins
		eventually(t, withdrawLimit, func() error {
			q := completionRequest{key: demoKey(s.account), model: s.sharedModel, prompt: uniquePrompt(t, -1), tokens: 5, timeout: 2 * time.Second}
			return c.checkComplete(q, c.requestCompletion(paused, q))
		})
		l.report(t)
	})
}

// ownerOfMostRunners returns the VM that owns the most runners.
func (c *cluster) ownerOfMostRunners(t *testing.T) *vm {
	t.Helper()
	st, err := c.status(c.vms[0])
	requireNoError(t, err)
	counts := map[string]int{}
	for _, r := range st.Runners {
		counts[r.Owner]++
	}
	owner := c.vms[0]
	for _, v := range c.vms {
		if counts[v.name] > counts[owner.name] {
			owner = v
		}
	}
	if counts[owner.name] == 0 {
		t.Fatal("no VM owns a runner")
	}
	return owner
}

// modelsWithSameUse returns the models that have the same label "use" as model.
func (c *cluster) modelsWithSameUse(model string) []string {
	m, _ := c.config.Model(model)
	var names []string
	for _, x := range c.config.Models() {
		if x.Labels["use"] == m.Labels["use"] {
			names = append(names, x.Name)
		}
	}
	return names
}

// Guards against requests that hang or get a wrong answer when engines stop
// answering or drop the connection in the middle of streams (I3, I8).
func TestEnginesDown(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		l := c.startLoad(t, s.account, c.modelsWithSameUse(s.sharedModel)[:6], c.vms)
		for n := range 3 {
			off := injectFaults(t, c.engines[n], map[string]any{"down": true})
			cut := injectFaults(t, c.engines[n+3], map[string]any{"drop-after": 3})
			time.Sleep(time.Second)
			off()
			cut()
		}
		l.report(t)
	})
}

// Guards against a request that crashes more than two engines because its caller
// resends it through other VMs, and against other requests that fail with it.
func TestPoison(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		before := c.crashCount(t)
		q := completionRequest{key: demoKey(s.account), model: s.killTestModel, prompt: uniquePrompt(t, 0) + poisonText, tokens: 5, timeout: 8 * time.Second}
		l := c.startLoad(t, s.account, []string{s.sharedModel, s.drainTestModel}, c.vms)
		l.awaitServed(t)
		var last answer
		for i := range 8 {
			last = c.requestCompletion(c.vms[(3*i)%entryVMs], q)
			if last.problem == nil || last.duration > q.timeout+deadlineMargin {
				t.Fatalf("resend %d: want a refusal in time, got %s", i, last)
			}
			if last.status == 422 {
				break
			}
		}
		if !last.problem.hasType("crashes-backend") || last.problem.Run != "ran" {
			t.Errorf("the crashing request is not blocked: %s", last)
		}
		for i := range entryVMs {
			if a := c.requestCompletion(c.vms[i], q); !a.problem.hasType("crashes-backend") {
				t.Errorf("%s does not block the crashing request: %s", c.vms[i].name, a)
			}
		}
		if n := c.crashCount(t) - before; n > 2 {
			t.Errorf("the request crashed %d engines, want at most 2", n)
		}
		l.report(t)
	})
}

func (c *cluster) crashCount(t *testing.T) int {
	t.Helper()
	n := 0
	for _, address := range c.engines {
		n += c.engineCounts(t, address).Crashes
	}
	return n
}

// Guards against requests that are sent to a backend server although the VM list
// has shown it as leaving for 5 s (I11).
func TestLeavingBackend(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		l := c.startLoad(t, s.account, c.modelsWithSameUse(s.sharedModel)[:4], c.vms)
		engine, service := c.backend(0, true), c.backend(0, false)
		for _, b := range []backend{engine, service} {
			postJSON(t, c.vmListAddress, "/v1/vms", b.listChange("leaving"))
		}
		time.Sleep(5 * time.Second)
		generations := c.engineCounts(t, engine.address).Generations
		executions := c.serviceCounts(t, service.address).Total
		runConcurrently(t, 2*entryVMs, func(i int) error {
			q := serviceCall{key: demoKey(s.account), method: "GET", path: s.serviceRoute}
			if a := c.callService(c.vms[i%entryVMs], q); a.status != 200 {
				return fmt.Errorf("call of a service while a backend server leaves: %s", a)
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
			postJSON(t, c.vmListAddress, "/v1/vms", b.listChange("add"))
		}
		l.report(t)
	})
}

// pauseProcess stops a VM's process for the given length with SIGSTOP, which leaves
// its connections open.
func pauseProcess(t *testing.T, v *vm, length time.Duration) {
	t.Helper()
	v.signal(t, syscall.SIGSTOP)
	time.Sleep(length)
	v.signal(t, syscall.SIGCONT)
}
