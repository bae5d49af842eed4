package drprocess

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against requests that run without a key, with an unknown key or with the
// key of an account that may not make them (I4). Also guards against keys in the
// query of a URL that are passed on to backend servers (I5): checkInvariants asks
// the stand-ins after each test whether they received a key.
func TestAccess(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, c *cluster) {
		s := c.fixture()
		expectRefused := func(i int, what string, a answer, status int) {
			if a.status != status || a.problem == nil || a.problem.Run != "not-run" {
				t.Errorf("I4: %s: %s: %s, want %d not-run", c.vms[i].name, what, a, status)
			}
		}
		runConcurrently(t, entryVMs, func(i int) error {
			v := c.vms[i]
			q := completionRequest{model: s.sharedModel, prompt: uniquePrompt(t, i), tokens: 2}
			expectRefused(i, "no key", c.requestCompletion(v, q), http.StatusUnauthorized)
			q.key = demoKey(s.account) + "x"
			expectRefused(i, "unknown key", c.requestCompletion(v, q), http.StatusUnauthorized)
			q.key = demoKey(s.unauthorizedAccount)
			expectRefused(i, "model of other accounts", c.requestCompletion(v, q), http.StatusForbidden)
			order := serviceCall{method: http.MethodPost, path: s.serviceRoute, body: "x"}
			expectRefused(i, "paid route without a key", c.callService(v, order), http.StatusUnauthorized)
			order.key = demoKey(s.unauthorizedAccount)
			expectRefused(i, "paid route of other accounts", c.callService(v, order), http.StatusForbidden)
			for _, place := range []string{"?api_key=", "?key=", "?access_token=", "?note="} {
				a := c.callService(v, serviceCall{key: demoKey(s.account), method: http.MethodGet, path: s.serviceRoute + place + demoKey(s.account)})
				if a.status != http.StatusOK {
					return fmt.Errorf("key in the query: %s", a)
				}
			}
			if s.publicRoute != "" {
				if a := c.callService(v, serviceCall{method: http.MethodGet, path: s.publicRoute}); a.status != http.StatusOK {
					return fmt.Errorf("public route without a key: %s", a)
				}
			}
			return nil
		})
	})
}
