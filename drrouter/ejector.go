package drrouter

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// ejectThreshold is the number of consecutive failures that eject a server.
	// A single failure may be due to the request rather than the server.
	ejectThreshold = 3
	// minEjection is the first period of ejection. Each further one lasts twice
	// as long, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxTrackedServers bounds the servers with recorded failures. It exceeds
	// the largest intended number of backend servers. When it is reached, all
	// failures are forgotten.
	maxTrackedServers = 16384
)

// failureState holds the consecutive failures of a server.
type failureState struct {
	failures     int
	ejection     time.Duration // length of the last ejection, 0 before the first
	ejectedUntil time.Time
}

// Ejector takes backend servers out of rotation after consecutive failures. It
// is safe for concurrent use.
type Ejector struct {
	clock   drclock.Clock
	mu      sync.Mutex
	servers map[string]*failureState // by address; only servers that failed since their last success
}

// NewEjector returns an Ejector that has seen no failures, so every server is
// usable.
func NewEjector(clock drclock.Clock) *Ejector {
	return &Ejector{clock: clock, servers: make(map[string]*failureState)}
}

// Success resets the failures and the length of ejection of the server at addr.
func (e *Ejector) Success(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.servers, addr)
}

// Failure counts a failure of the server at addr and returns how long the
// server is ejected from now on, 0 if this failure did not eject it. Failures
// during an ejection do not count. After an ejection, a single failure ejects
// the server again, for twice as long.
func (e *Ejector) Failure(addr string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.servers[addr]
	if state == nil {
		if len(e.servers) >= maxTrackedServers {
			clear(e.servers)
		}
		state = &failureState{}
		e.servers[addr] = state
	}
	now := e.clock.Now()
	if now.Before(state.ejectedUntil) {
		return 0
	}
	state.failures++
	if state.failures < ejectThreshold {
		return 0
	}
	state.ejection = min(max(2*state.ejection, minEjection), maxEjection)
	state.ejectedUntil = now.Add(state.ejection)
	return state.ejection
}

// Usable returns the servers of a fleet that are not ejected. At most half of
// addrs is left out: if more are ejected, those with the shortest remaining
// ejection are returned as well.
func (e *Ejector) Usable(addrs []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var out, ejected []string
	for _, a := range addrs {
		if h := e.servers[a]; h != nil && now.Before(h.ejectedUntil) {
			ejected = append(ejected, a)
		} else {
			out = append(out, a)
		}
	}
	if extra := len(ejected) - len(addrs)/2; extra > 0 {
		slices.SortStableFunc(ejected, func(a, b string) int {
			return e.servers[a].ejectedUntil.Compare(e.servers[b].ejectedUntil)
		})
		out = append(out, ejected[:extra]...)
	}
	return out
}

// usable returns the servers in rotation on which the request has not failed.
// If there are none, it returns all servers on which the request has not
// failed, ejected or not. It modifies all.
func usable[T any](ejector *Ejector, all []T, addr func(T) string, failed func(T) bool) []T {
	addrs := make([]string, len(all))
	for i, x := range all {
		addrs[i] = addr(x)
	}
	inRotation := ejector.Usable(addrs)
	all = slices.DeleteFunc(all, failed)
	var out []T
	for _, x := range all {
		if slices.Contains(inRotation, addr(x)) {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}
