package drconfig

import (
	"net/http"
	"slices"
)

// Repeatable reports whether calls of the method may be repeated.
func (r Route) Repeatable(method string) bool {
	if len(r.RepeatableMethods) > 0 {
		return slices.Contains(r.RepeatableMethods, method)
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Admits reports whether the client account may use the route.
func (r Route) Admits(a ClientAccount) bool { return a.Labels.Contains(r.Accounts) }
