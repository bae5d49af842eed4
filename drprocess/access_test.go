package drprocess

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against requests that run without the key of an account that may make
// them (I4), and against keys that reach backend servers in places other than
// the Authorization header (I5; each test checks what backend servers saw).
func TestAccess(t *testing.T) {
	each(t, func(t *testing.T, c *cluster) {
		s := c.sample()
		refused := func(i int, what string, a answer, status int) {
			if a.status != status || a.problem == nil || a.problem.Run != "not-run" {
				t.Errorf("I4: %s: %s: %s, want %d not-run", c.vms[i].name, what, a, status)
			}
		}
		all(t, entryVMs, func(i int) error {
			v := c.vms[i]
			q := question{model: s.burst, prompt: prompt(t, i), tokens: 2}
			refused(i, "no key", c.ask(v, q), http.StatusUnauthorized)
			q.key = key(s.account) + "x"
			refused(i, "unknown key", c.ask(v, q), http.StatusUnauthorized)
			q.key = key(s.barred)
			refused(i, "model of other accounts", c.ask(v, q), http.StatusForbidden)
			order := call{method: http.MethodPost, path: s.service, body: "x"}
			refused(i, "paid route without a key", c.call(v, order), http.StatusUnauthorized)
			order.key = key(s.barred)
			refused(i, "paid route of other accounts", c.call(v, order), http.StatusForbidden)
			for _, place := range []string{"?api_key=", "?key=", "?access_token=", "?note="} {
				a := c.call(v, call{key: key(s.account), method: http.MethodGet, path: s.service + place + key(s.account)})
				if a.status != http.StatusOK {
					return fmt.Errorf("key in the query: %s", a)
				}
			}
			if s.public != "" {
				if a := c.call(v, call{method: http.MethodGet, path: s.public}); a.status != http.StatusOK {
					return fmt.Errorf("public route without a key: %s", a)
				}
			}
			return nil
		})
	})
}
