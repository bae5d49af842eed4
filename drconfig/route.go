package drconfig

import (
	"net/http"
	"slices"
)

// Repeatable reports whether calls with the HTTP method can be repeated safely.
func (r Route) Repeatable(method string) bool {
	if len(r.RepeatableMethods) > 0 {
		return slices.Contains(r.RepeatableMethods, method)
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Admits reports whether the client account carries the labels required by r.Accounts.
// It does not consider whether the route is open.
func (r Route) Admits(a ClientAccount) bool { return a.Labels.Contains(r.Accounts) }
