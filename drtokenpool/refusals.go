package drtokenpool

import "time"

const (
	// maxRefusals bounds the refused requests that a pool remembers, of all accounts
	// together.
	maxRefusals = 8192
	// refusalTTL is how long a refused request is remembered: about as long as
	// clients go on repeating it.
	refusalTTL = 10 * time.Second
)

// refusal is a request that was refused for the first time at a time.
type refusal struct {
	identity uint64
	at       time.Time
}

// refusals remembers when requests were refused first, maxRefusals at most and each up to
// refusalTTL.
type refusals struct {
	times map[uint64]time.Time
	// ring holds the refusals, the oldest at next once it is full.
	ring []refusal
	next int
}

func newRefusals() *refusals { return &refusals{times: make(map[uint64]time.Time)} }

// add remembers a refused request unless it is remembered already. An identity of 0 is
// ignored.
func (r *refusals) add(identity uint64, now time.Time) {
	if _, found := r.since(identity, now); found || identity == 0 {
		return
	}
	entry := refusal{identity: identity, at: now}
	if len(r.ring) < maxRefusals {
		r.ring = append(r.ring, entry)
	} else {
		r.drop(r.ring[r.next])
		r.ring[r.next] = entry
		r.next = (r.next + 1) % maxRefusals
	}
	r.times[identity] = now
}

// drop forgets a refusal unless the request has been admitted and refused again since.
func (r *refusals) drop(old refusal) {
	if r.times[old.identity].Equal(old.at) {
		delete(r.times, old.identity)
	}
}

// since returns when the request was refused first, if that was lately.
func (r *refusals) since(identity uint64, now time.Time) (at time.Time, found bool) {
	at, found = r.times[identity]
	return at, found && now.Sub(at) < refusalTTL
}

// remove forgets a request that has been admitted.
func (r *refusals) remove(identity uint64) { delete(r.times, identity) }
