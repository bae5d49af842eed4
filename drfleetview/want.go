package drfleetview

import (
	"time"
)

// forecastTTL is how long a forecast is believed.
const forecastTTL = time.Second

// waiterSet is the set of requests that wait for one replica.
type waiterSet struct {
	waiters map[*Waiter]struct{}
}

// Waiter is one request that waits for a replica.
type Waiter struct {
	view    *View
	replica Replica
	// Objective and Deadline are when the answer should start, and when the
	// request must be refused.
	objective, deadline time.Time
	urgency             int
}

type forecast struct {
	expectedAt time.Time // when the replica is expected
	expiresAt  time.Time // when the forecast expires
}

// AddWaiter registers a request that waits for a replica until Close.
func (v *View) AddWaiter(replica Replica, objective, deadline time.Time, urgency int) *Waiter {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := &Waiter{view: v, replica: replica, objective: objective, deadline: deadline, urgency: urgency}
	e, ok := v.waitersByReplica[replica]
	if !ok {
		e = &waiterSet{waiters: make(map[*Waiter]struct{})}
		v.waitersByReplica[replica] = e
		select {
		case v.demandAdded <- struct{}{}:
		default:
		}
	}
	e.waiters[w] = struct{}{}
	return w
}

// Close ends the waiting.
func (w *Waiter) Close() {
	v := w.view
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.waitersByReplica[w.replica]
	delete(e.waiters, w)
	if len(e.waiters) == 0 {
		delete(v.waitersByReplica, w.replica)
	}
}

// DemandAdded returns a channel that holds a token when a new want has appeared.
func (v *View) DemandAdded() <-chan struct{} { return v.demandAdded }

// DemandSummary is what the requests of a VM that wait for a replica have in
// common.
type DemandSummary struct {
	Replica Replica
	Waiting int
	// ObjectiveLeft is the time until the next one misses its objective; it is
	// negative once all have.
	ObjectiveLeft time.Duration
	// DeadlineLeft is the time until the last one must be refused.
	DeadlineLeft time.Duration
	Urgency      int // of the most urgent one
}

// DemandSummaries returns what the requests of this VM wait for.
func (v *View) DemandSummaries() []DemandSummary {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var ws []DemandSummary
	for p, e := range v.waitersByReplica {
		s := DemandSummary{Replica: p, Waiting: len(e.waiters)}
		first := true
		for w := range e.waiters {
			if o := w.objective.Sub(now); first || moreUrgentObjective(o, s.ObjectiveLeft) {
				s.ObjectiveLeft = o
			}
			if first || w.urgency < s.Urgency {
				s.Urgency = w.urgency
			}
			s.DeadlineLeft = max(s.DeadlineLeft, w.deadline.Sub(now))
			first = false
		}
		ws = append(ws, s)
	}
	return ws
}

// moreUrgentObjective reports whether an objective is missed sooner. One that can
// still be met goes before those that were missed.
func moreUrgentObjective(a, b time.Duration) bool {
	if (a >= 0) != (b >= 0) {
		return a >= 0
	}
	return a >= 0 && a < b || a < 0 && a > b
}

// SetForecast takes the time after which a replica is expected.
func (v *View) SetForecast(replica Replica, after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	defer v.notify()
	v.forecasts[replica] = forecast{expectedAt: now.Add(after), expiresAt: now.Add(forecastTTL)}
	for q, f := range v.forecasts {
		if now.After(f.expiresAt) {
			delete(v.forecasts, q)
		}
	}
}

// Forecast returns when a replica is expected, if the controller said so.
func (v *View) Forecast(replica Replica) (at time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f, ok := v.forecasts[replica]
	if !ok || v.clock.Now().After(f.expiresAt) {
		return time.Time{}, false
	}
	return f.expectedAt, true
}
