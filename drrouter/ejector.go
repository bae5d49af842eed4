package drrouter

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// ejectAfter consecutive failures eject; a single failure may concern
	// the request rather than the server.
	ejectAfter = 3
	ejectFirst = time.Second
	ejectMax   = 30 * time.Second
	// maxHealth bounds the servers remembered; it exceeds the target size.
	maxHealth = 16384
)

type health struct {
	failures int
	period   time.Duration
	until    time.Time
}

// Ejector takes backend servers out of rotation after consecutive failures.
// It is safe for concurrent use.
type Ejector struct {
	clock drclock.Clock
	mu    sync.Mutex
	state map[string]*health
}

// NewEjector returns an Ejector in which every server is usable.
func NewEjector(c drclock.Clock) *Ejector {
	return &Ejector{clock: c, state: make(map[string]*health)}
}

// Success resets the failures and the ejection period of the server at addr.
func (e *Ejector) Success(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.state, addr)
}

// Failure counts a failure of the server at addr. After a period of ejection
// one further failure suffices to eject it again, for twice as long. It returns
// how long the server is ejected from now on, 0 if the failure did not eject it.
func (e *Ejector) Failure(addr string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.state[addr]
	if h == nil {
		if len(e.state) >= maxHealth {
			clear(e.state)
		}
		h = &health{}
		e.state[addr] = h
	}
	now := e.clock.Now()
	if now.Before(h.until) {
		return 0
	}
	h.failures++
	if h.failures < ejectAfter {
		return 0
	}
	h.period = min(max(2*h.period, ejectFirst), ejectMax)
	h.until = now.Add(h.period)
	return h.period
}

// Usable returns the servers of a fleet that are not ejected. It never leaves
// out more than half of addrs: those ejected for the shortest remaining time
// are put back.
func (e *Ejector) Usable(addrs []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var out, ejected []string
	for _, a := range addrs {
		if h := e.state[a]; h != nil && now.Before(h.until) {
			ejected = append(ejected, a)
		} else {
			out = append(out, a)
		}
	}
	if extra := len(ejected) - len(addrs)/2; extra > 0 {
		slices.SortStableFunc(ejected, func(a, b string) int {
			return e.state[a].until.Compare(e.state[b].until)
		})
		out = append(out, ejected[:extra]...)
	}
	return out
}

// usable returns the servers that have not failed the request and are not
// ejected, or the ejected ones if no other is left.
func usable[T any](e *Ejector, all []T, addr func(T) string, failed func(T) bool) []T {
	addrs := make([]string, len(all))
	for i, x := range all {
		addrs[i] = addr(x)
	}
	in := e.Usable(addrs)
	all = slices.DeleteFunc(all, failed)
	var out []T
	for _, x := range all {
		if slices.Contains(in, addr(x)) {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}
