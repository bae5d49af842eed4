package drprocess

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drconfig"
)

// writeDeclarations writes the objects to a file of declarations and returns its
// path.
func writeDeclarations(t *testing.T, objects ...map[string]any) string {
	t.Helper()
	b, err := json.Marshal(objects)
	requireNoError(t, err)
	path := filepath.Join(t.TempDir(), "declarations.jsonc")
	requireNoError(t, os.WriteFile(path, b, 0o600))
	return path
}

// applyFiles runs the apply command through the VM v and waits until the change is
// in force on all VMs. args are files of declarations and flags.
func (c *cluster) applyFiles(t *testing.T, v *vm, args ...string) {
	t.Helper()
	if code, out := c.runAdminCommand(t, v, "apply", append([]string{"-wait"}, args...)...); code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out)
	}
}

// Guards against a withdrawn key that still works after 5 s on some VM: for new
// requests, for running streams or for the response of a running paid call (I6).
// Also guards against a withdrawal that stops a paid call at the service, which
// must be executed once (I10).
func TestWithdrawnKey(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		withdrawnKey := "drk_withdrawn_in_this_test"
		id := "test-" + strings.ToLower(c.Name)
		c.applyFiles(t, c.vms[0], writeDeclarations(t, map[string]any{"key": map[string]any{
			"id": id, "account": s.account, "hash": drconfig.HashKey([]byte(c.Secret), withdrawnKey),
		}}))
		for _, address := range c.services {
			injectFaults(t, address, map[string]any{"delay": "4s"})
		}
		var withdrawal, lastToken time.Time
		var mu sync.Mutex
		var running sync.WaitGroup
		begun := make(chan struct{}, entryVMs)
		for i, v := range c.vms {
			running.Go(func() {
				signalBegun := sync.OnceFunc(func() { begun <- struct{}{} })
				q := completionRequest{key: withdrawnKey, model: s.sharedModel, prompt: uniquePrompt(t, i), tokens: 450, stream: true}
				q.onEvent = func(int) {
					signalBegun()
					mu.Lock()
					lastToken = time.Now()
					mu.Unlock()
				}
				a := c.requestCompletion(v, q)
				signalBegun()
				if a.problem == nil || a.problem.Run == "not-run" || len(a.text) == 0 {
					t.Errorf("I6: %s: the stream of a withdrawn key did not end with a verdict: %d bytes, %s", v.name, len(a.text), a)
				}
			})
		}
		for range c.vms {
			<-begun
		}
		paid := serviceCall{key: withdrawnKey, method: http.MethodPost, path: s.serviceRoute, body: "x", idempotencyKey: uniqueName(t)}
		running.Go(func() {
			a := c.callService(c.vms[4], paid)
			if a.status != http.StatusForbidden || a.problem == nil || a.problem.Run != "may-have-run" {
				t.Errorf("I6: paid call of a withdrawn key: %s", a)
			}
		})
		time.Sleep(time.Second) // until the paid call is at the service
		withdrawal = time.Now()
		c.applyFiles(t, c.vms[1], "-prune", filepath.Join("..", "examples", c.Name, "declarations", "keys.jsonc"))
		runConcurrently(t, entryVMs, func(i int) error {
			return retryUntil(time.Until(withdrawal.Add(withdrawLimit)), func() error {
				a := c.requestCompletion(c.vms[i], completionRequest{key: withdrawnKey, model: s.sharedModel, prompt: uniquePrompt(t, 100+i), tokens: 1})
				if !a.problem.hasType("invalid-key") || a.status != http.StatusUnauthorized {
					return fmt.Errorf("I6: %s does not refuse the key after the withdrawal: %s", c.vms[i].name, a)
				}
				return nil
			})
		})
		running.Wait()
		if d := lastToken.Sub(withdrawal); d > withdrawLimit {
			t.Errorf("I6: a stream received a token %s after the withdrawal", d)
		}
		if n := c.executionsByKey(t)[uniqueName(t)]; n != 1 {
			t.Errorf("the paid call was executed %d times", n)
		}
	})
}

// Guards against a VM that cannot reach the log and still accepts a withdrawn key,
// although it can read the withdrawal from its peers (I6, I13).
func TestCutFromLog(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		withdrawnKey := "drk_withdrawn_while_cut"
		c.applyFiles(t, c.vms[0], writeDeclarations(t, map[string]any{"key": map[string]any{
			"id": "cut-" + c.Name, "account": s.account, "hash": drconfig.HashKey([]byte(c.Secret), withdrawnKey),
		}}))
		v, f := c.vms[5], newForwarder(t, c.logAddress)
		v.kill()
		v.logAddress = f.address()
		c.writeSettings(t, v)
		c.restart(t, v)
		t.Cleanup(f.heal) // restores the log for later tests, which use the VM
		f.cut()
		q := completionRequest{key: withdrawnKey, model: s.sharedModel, prompt: uniquePrompt(t, 0), tokens: 5}
		requireNoError(t, c.checkComplete(q, c.requestCompletion(v, q)))
		begin := time.Now()
		c.applyFiles(t, c.vms[1], "-prune", filepath.Join("..", "examples", c.Name, "declarations", "keys.jsonc"))
		eventually(t, time.Until(begin.Add(withdrawLimit)), func() error {
			if a := c.requestCompletion(v, q); !a.problem.hasType("invalid-key") {
				return fmt.Errorf("I6: the VM that cannot reach the log does not refuse the withdrawn key: %s", a)
			}
			return nil
		})
		q.key = demoKey(s.account)
		requireNoError(t, c.checkComplete(q, c.requestCompletion(v, q)))
		f.heal()
		c.awaitReady(t, v, startLimit)
	})
}

// Guards against operators who change one object at the same time through different
// VMs and overwrite each other, and against a rejected change that is in force on
// some VM (I13).
func TestRacingOperators(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		before, err := dradmin.NewClient("http://"+c.vms[0].adminAddress, c.Operator).Objects(t.Context())
		requireNoError(t, err)
		var mu sync.Mutex
		var accepted []int
		runConcurrently(t, entryVMs, func(i int) error {
			client := dradmin.NewClient("http://"+c.vms[i].adminAddress, c.Operator)
			change := dradmin.Change{ID: fmt.Sprintf("%s-%d", uniqueName(t), i), BasedOn: before.Offset, Author: fmt.Sprint(i)}
			change.Puts = []dradmin.ObjectDocument{{
				ObjectName: dradmin.ObjectName{Kind: "client-account", Name: "racing"},
				Object:     json.RawMessage(fmt.Sprintf(`{"name":"racing","labels":{"operator":"n%d"}}`, i)),
			}}
			res, err := client.Submit(t.Context(), change)
			if err == nil && res.Accepted {
				mu.Lock()
				accepted = append(accepted, i)
				mu.Unlock()
			}
			return err
		})
		if len(accepted) != 1 {
			t.Fatalf("the changes of operators %v were accepted, want exactly one", accepted)
		}
		runConcurrently(t, entryVMs, func(i int) error {
			return retryUntil(inForceLimit, func() error {
				out, err := dradmin.NewClient("http://"+c.vms[i].adminAddress, c.Operator).Objects(t.Context())
				if err != nil {
					return err
				}
				for _, o := range out.Objects {
					if o.Name == "racing" && strings.Contains(string(o.Object), fmt.Sprintf("n%d\"", accepted[0])) {
						return nil
					}
				}
				return fmt.Errorf("%s: the accepted change is not in force at offset %d", c.vms[i].name, out.Offset)
			})
		})
	})
}
