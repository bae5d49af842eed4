package drfleetview

import (
	"time"
)

// forecastFor is how long a forecast is believed.
const forecastFor = time.Second

// want is the set of requests that wait for one replica.
type want struct {
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
	at    time.Time // when the replica is expected
	until time.Time // when the forecast expires
}

// Want registers a request that waits for a replica until Close.
func (v *View) Want(p Replica, objective, deadline time.Time, urgency int) *Waiter {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := &Waiter{view: v, replica: p, objective: objective, deadline: deadline, urgency: urgency}
	e, ok := v.wants[p]
	if !ok {
		e = &want{waiters: make(map[*Waiter]struct{})}
		v.wants[p] = e
		select {
		case v.wanted <- struct{}{}:
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
	e := v.wants[w.replica]
	delete(e.waiters, w)
	if len(e.waiters) == 0 {
		delete(v.wants, w.replica)
	}
}

// Wanted returns a channel that holds a token when a new want has appeared.
func (v *View) Wanted() <-chan struct{} { return v.wanted }

// WantSummary is what the requests of a VM that wait for a replica have in
// common.
type WantSummary struct {
	Replica Replica
	Waiting int
	// ObjectiveLeft is the time until the next one misses its objective; it is
	// negative once all have.
	ObjectiveLeft time.Duration
	// DeadlineLeft is the time until the last one must be refused.
	DeadlineLeft time.Duration
	Urgency      int // of the most urgent one
}

// Wants returns what the requests of this VM wait for.
func (v *View) Wants() []WantSummary {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var ws []WantSummary
	for p, e := range v.wants {
		s := WantSummary{Replica: p, Waiting: len(e.waiters)}
		first := true
		for w := range e.waiters {
			if o := w.objective.Sub(now); first || soonerObjective(o, s.ObjectiveLeft) {
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

// soonerObjective reports whether an objective is missed sooner. One that can
// still be met goes before those that were missed.
func soonerObjective(a, b time.Duration) bool {
	if (a >= 0) != (b >= 0) {
		return a >= 0
	}
	return a >= 0 && a < b || a < 0 && a > b
}

// SetForecast takes the time after which a replica is expected.
func (v *View) SetForecast(p Replica, after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	defer v.notify()
	v.forecasts[p] = forecast{at: now.Add(after), until: now.Add(forecastFor)}
	for q, f := range v.forecasts {
		if now.After(f.until) {
			delete(v.forecasts, q)
		}
	}
}

// Forecast returns when a replica is expected, if the controller said so.
func (v *View) Forecast(p Replica) (at time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f, ok := v.forecasts[p]
	if !ok || v.clock.Now().After(f.until) {
		return time.Time{}, false
	}
	return f.at, true
}
