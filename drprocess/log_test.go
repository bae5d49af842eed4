package drprocess

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against keyed calls that run twice when appends take effect without
// an answer, take effect late, are slow or are refused, while callers resend
// through several VMs at once (I9, I10).
func TestLogAnswersLost(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		const calls, resends = 6, 3
		for n, on := range []map[string]any{
			{"lose-answer": true}, {"late-append": "300ms"}, {"delay": "200ms"}, {"reject-rate": 0.5},
		} {
			off := faults(t, c.log, on)
			all(t, calls*resends, func(i int) error {
				q := call{
					key: key(s.account), method: http.MethodPost, path: s.service, body: fmt.Sprint(i % calls),
					idempotencyKey: fmt.Sprintf("%s-%d-%d", name(t), n, i%calls), timeout: 4 * time.Second,
				}
				return settledCall(q, c.call(c.vms[(i*5+n)%entryVMs], q))
			})
			off()
		}
		// Callers that resend after the faults receive an answer.
		all(t, calls, func(i int) error {
			q := call{
				key: key(s.account), method: http.MethodPost, path: s.service, body: fmt.Sprint(i),
				idempotencyKey: fmt.Sprintf("%s-0-%d", name(t), i),
			}
			return settledCall(q, c.call(c.vms[i], q))
		})
	})
}

// settledCall reports an error unless a is an answer or a refusal in time.
func settledCall(q call, a answer) error {
	if q.timeout == 0 {
		q.timeout = 10 * time.Second
	}
	switch {
	case a.took > q.timeout+deadlineMargin:
		return fmt.Errorf("late: %s, deadline %s", a, q.timeout)
	case a.problem == nil && (a.status != http.StatusOK || !a.done):
		return fmt.Errorf("no answer: %s", a)
	}
	return nil
}

// Guards against an outage of the log that stops completions, lets paid calls
// run without a record, or keeps a new VM from serving within 5 s.
func TestLogDown(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		warm := question{key: key(s.account), model: s.burst, prompt: prompt(t, 0), tokens: 5}
		must(t, c.whole(warm, c.ask(c.vms[0], warm)))
		done := call{key: key(s.account), method: http.MethodPost, path: s.service, body: "a", idempotencyKey: name(t) + "-done"}
		if a := c.call(c.vms[0], done); a.status != http.StatusOK {
			t.Fatal(a)
		}
		off := faults(t, c.log, map[string]any{"down": true})
		l := c.startLoad(t, s.account, []string{s.burst}, c.vms)
		time.Sleep(6 * time.Second) // longer than a VM counts as fresh
		all(t, entryVMs, func(i int) error {
			q := done
			q.idempotencyKey = fmt.Sprintf("%s-%d", name(t), i)
			a := c.call(c.vms[i], q)
			if a.problem == nil || a.problem.Run != "not-run" || a.status != http.StatusServiceUnavailable {
				return fmt.Errorf("keyed call without the log: %s", a)
			}
			return nil
		})
		c.newVMServes(t, warm)
		l.report(t)
		if l.whole == 0 || len(l.refused) > 0 {
			t.Errorf("requests for a loaded model were refused without the log: %v", l.refused)
		}
		off()
		eventually(t, inForceLimit, func() error {
			q := done
			q.idempotencyKey = name(t) + "-after"
			if a := c.call(c.vms[3], q); a.status != http.StatusOK {
				return fmt.Errorf("keyed call with the log back: %s", a)
			}
			return nil
		})
		eventually(t, inForceLimit, func() error {
			cold := question{key: key(s.account), model: s.cold, prompt: prompt(t, 1), tokens: 5}
			return c.whole(cold, c.ask(c.vms[4], cold))
		})
	})
}

// newVMServes starts a VM that knows one peer, and asks it until it serves.
func (c *cluster) newVMServes(t *testing.T, q question) {
	t.Helper()
	v := c.newVM(t, entryVMs)
	begin := time.Now()
	c.startVM(t, v)
	c.listVM(t, "add", v)
	err := within(5*time.Second, func() error { return c.whole(q, c.ask(v, q)) })
	if err != nil {
		t.Errorf("a new VM does not serve after 5 s without the log: %v", err)
	} else {
		t.Logf("a new VM serves after %s without the log", time.Since(begin).Round(time.Millisecond))
	}
	v.kill()
	c.listVM(t, "remove", v)
}
