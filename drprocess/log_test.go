package drprocess

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against keyed calls that are executed twice while callers resend them
// through several VMs at once and the log loses the answers of appends, performs
// appends late, is slow or rejects appends (I9, I10).
func TestLogAnswersLost(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		const calls, resends = 6, 3
		for n, on := range []map[string]any{
			{"lose-answer": true}, {"late-append": "300ms"}, {"delay": "200ms"}, {"reject-rate": 0.5},
		} {
			off := injectFaults(t, c.logAddress, on)
			runConcurrently(t, calls*resends, func(i int) error {
				q := serviceCall{
					key: demoKey(s.account), method: http.MethodPost, path: s.serviceRoute, body: fmt.Sprint(i % calls),
					idempotencyKey: fmt.Sprintf("%s-%d-%d", uniqueName(t), n, i%calls), timeout: 4 * time.Second,
				}
				return checkSettledCall(q, c.callService(c.vms[(i*5+n)%entryVMs], q))
			})
			off()
		}
		// Resends the calls of the first fault now that the log works again.
		runConcurrently(t, calls, func(i int) error {
			q := serviceCall{
				key: demoKey(s.account), method: http.MethodPost, path: s.serviceRoute, body: fmt.Sprint(i),
				idempotencyKey: fmt.Sprintf("%s-0-%d", uniqueName(t), i),
			}
			return checkSettledCall(q, c.callService(c.vms[i], q))
		})
	})
}

// checkSettledCall returns an error unless a arrived by the call's deadline and is a
// complete answer or a refusal.
func checkSettledCall(call serviceCall, a answer) error {
	if call.timeout == 0 {
		call.timeout = 10 * time.Second
	}
	switch {
	case a.duration > call.timeout+deadlineMargin:
		return fmt.Errorf("answered after the deadline: %s, deadline %s", a, call.timeout)
	case a.problem == nil && (a.status != http.StatusOK || !a.done):
		return fmt.Errorf("no complete answer: %s", a)
	}
	return nil
}

// Guards against an outage of the log that stops completions of loaded models, lets
// paid calls run without a record in the log, or keeps a new VM from serving within
// 5 s. Also guards against VMs that do not recover when the log is back.
func TestLogDown(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		warm := completionRequest{key: demoKey(s.account), model: s.sharedModel, prompt: uniquePrompt(t, 0), tokens: 5}
		requireNoError(t, c.checkComplete(warm, c.requestCompletion(c.vms[0], warm)))
		done := serviceCall{key: demoKey(s.account), method: http.MethodPost, path: s.serviceRoute, body: "a", idempotencyKey: uniqueName(t) + "-done"}
		if a := c.callService(c.vms[0], done); a.status != http.StatusOK {
			t.Fatal(a)
		}
		off := injectFaults(t, c.logAddress, map[string]any{"down": true})
		l := c.startLoad(t, s.account, []string{s.sharedModel}, c.vms)
		time.Sleep(6 * time.Second) // longer than a VM without the log counts as fresh
		runConcurrently(t, entryVMs, func(i int) error {
			q := done
			q.idempotencyKey = fmt.Sprintf("%s-%d", uniqueName(t), i)
			a := c.callService(c.vms[i], q)
			if a.problem == nil || a.problem.Run != "not-run" || a.status != http.StatusServiceUnavailable {
				return fmt.Errorf("keyed call without the log: %s", a)
			}
			return nil
		})
		c.checkNewVMServes(t, warm)
		l.report(t)
		if l.completed == 0 || len(l.refused) > 0 {
			t.Errorf("requests for a loaded model were refused without the log: %v", l.refused)
		}
		off()
		eventually(t, inForceLimit, func() error {
			q := done
			q.idempotencyKey = uniqueName(t) + "-after"
			if a := c.callService(c.vms[3], q); a.status != http.StatusOK {
				return fmt.Errorf("keyed call with the log back: %s", a)
			}
			return nil
		})
		eventually(t, inForceLimit, func() error {
			cold := completionRequest{key: demoKey(s.account), model: s.logDownTestModel, prompt: uniquePrompt(t, 1), tokens: 5}
			return c.checkComplete(cold, c.requestCompletion(c.vms[4], cold))
		})
	})
}

// checkNewVMServes starts a VM that knows one peer, and checks that it answers
// the request within 5 s. It removes the VM afterwards.
func (c *cluster) checkNewVMServes(t *testing.T, request completionRequest) {
	t.Helper()
	v := c.newVM(t, entryVMs)
	begin := time.Now()
	c.startVM(t, v)
	c.listVM(t, "add", v)
	err := retryUntil(5*time.Second, func() error { return c.checkComplete(request, c.requestCompletion(v, request)) })
	if err != nil {
		t.Errorf("a new VM does not serve after 5 s without the log: %v", err)
	} else {
		t.Logf("a new VM serves after %s without the log", time.Since(begin).Round(time.Millisecond))
	}
	v.kill()
	c.listVM(t, "remove", v)
}
