package drfleetview

import (
	"time"
)

// forecastTTL is how long a forecast is used if no newer one arrives.
const forecastTTL = time.Second

// waiterSet holds the requests that wait for one replica. It is removed with its
// last waiter.
type waiterSet struct {
	waiters map[*Waiter]struct{}
}

// Waiter is one request that waits until a runner holds a replica.
type Waiter struct {
	view    *View
	replica Replica
	// objective is when the answer should start, deadline when the request must
	// be refused at the latest.
	objective, deadline time.Time
	urgency             int // 0 is the most urgent
}

// forecast says when the controller expects a replica to be loaded.
type forecast struct {
	expectedAt time.Time
	expiresAt  time.Time // after this the forecast is ignored
}

// AddWaiter registers a request that waits for a replica, until Close is called
// on the result. The first waiter for a replica signals DemandAdded.
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

// Close unregisters the request. Call it exactly once.
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

// DemandAdded returns a channel that receives a value when requests begin to
// wait for a replica that none waited for before. It buffers one value, so that
// several such events may arrive as one.
func (v *View) DemandAdded() <-chan struct{} { return v.demandAdded }

// DemandSummary sums up the requests of a VM that wait for one replica.
type DemandSummary struct {
	Replica Replica
	Waiting int // number of requests
	// ObjectiveLeft is the time until the next of the requests misses its
	// objective. Once all have missed it, it is the negative time since the
	// last one did.
	ObjectiveLeft time.Duration
	// DeadlineLeft is the time until the last of the requests must be refused.
	DeadlineLeft time.Duration
	Urgency      int // of the most urgent request, 0 for the most urgent level
}

// DemandSummaries returns one summary for each replica that requests of this VM
// wait for, in no particular order.
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

// moreUrgentObjective reports whether the objective with time a left counts
// before the one with b: first those that can still be met, the nearest first,
// then those already missed, the latest missed first.
func moreUrgentObjective(a, b time.Duration) bool {
	if (a >= 0) != (b >= 0) {
		return a >= 0
	}
	return a >= 0 && a < b || a < 0 && a > b
}

// SetForecast records that the controller expects a replica to be loaded after
// the given time from now, and wakes waiting requests.
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

// Forecast returns when the controller expects a replica to be loaded. ok is
// false if there is no forecast or it has expired.
func (v *View) Forecast(replica Replica) (at time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f, ok := v.forecasts[replica]
	if !ok || v.clock.Now().After(f.expiresAt) {
		return time.Time{}, false
	}
	return f.expectedAt, true
}
