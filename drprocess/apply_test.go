package drprocess

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drdemo"
)

// BenchmarkInForce measures the time until a change is in force on 16 entry
// VM processes (I13). Run it with -benchtime 100x for the 99th percentile.
func BenchmarkInForce(b *testing.B) {
	for _, name := range []string{"fjordsnor", "retoque"} {
		b.Run(name, func(b *testing.B) {
			c := clusters[name]
			if c == nil {
				c = newCluster(b, drdemo.Deployments()[name])
				clusters[name] = c
			}
			var times []time.Duration
			for n := 0; b.Loop(); n++ {
				begin := time.Now()
				requireNoError(b, c.changeAndWait(c.vms[n%entryVMs], n))
				times = append(times, time.Since(begin))
			}
			slices.Sort(times)
			for _, p := range []int{50, 99} {
				b.ReportMetric(float64(times[(len(times)-1)*p/100].Microseconds())/1000, fmt.Sprintf("p%d-ms", p))
			}
		})
	}
}

// changeAndWait submits a change of a client account through the VM v and
// waits until it is in force on all VMs. n is the new label's value, which must
// differ from the earlier one.
func (c *cluster) changeAndWait(v *vm, n int) error {
	client := dradmin.NewClient("http://"+v.adminAddress, c.Operator)
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	now, err := client.Objects(ctx)
	if err != nil {
		return err
	}
	res, err := client.Submit(ctx, dradmin.Change{
		ID: fmt.Sprint("benchmark-", time.Now().UnixNano()), BasedOn: now.Offset, Author: "benchmark",
		Puts: []dradmin.ObjectDocument{{
			ObjectName: dradmin.ObjectName{Kind: "client-account", Name: "benchmark"},
			Object:     []byte(fmt.Sprintf(`{"name":"benchmark","labels":{"n":"n%d"}}`, n)),
		}},
	})
	if err != nil {
		return err
	}
	if !res.Accepted {
		return fmt.Errorf("change rejected: %v", res.Problems)
	}
	for {
		f, err := client.InForce(ctx)
		if err != nil {
			return err
		}
		if lowest, _ := f.MinOffset(); lowest >= res.Offset && len(f.VMs) == entryVMs {
			return nil
		}
	}
}

// Guards against configuration changes that are lost, applied twice or reported as
// rejected because the log is slow, loses the answer of an append or performs an
// append late. Also guards against a VM that returns to an older configuration
// when its process is replaced (I13).
func TestChangesDuringLogFaults(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		last := ""
		for n, on := range []map[string]any{{"lose-answer": true}, {"late-append": "500ms"}, {"delay": "300ms"}} {
			off := injectFaults(t, c.logAddress, on)
			last = fmt.Sprintf("n%d-%d", testRound, n)
			c.applyFiles(t, c.vms[3*n], writeDeclarations(t, map[string]any{"client-account": map[string]any{
				"name": "changed", "labels": map[string]string{"n": last},
			}}))
			off()
		}
		replaced := c.vms[9]
		replaced.kill()
		c.restart(t, replaced)
		for _, v := range c.vms {
			code, out := c.runAdminCommand(t, v, "get", "client-account", "changed")
			if code != 0 || !strings.Contains(out, last) {
				t.Errorf("I13: %s has %s, want label %s", v.name, out, last)
			}
		}
	})
}
