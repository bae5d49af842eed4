package drfleetview

import (
	"iter"
	"time"
)

// boundIndex finds the entries that have a bound, so that nobody looks through all runners
// for them. It contains them by each model that they hold, and all by the empty model. Some
// of what it contains has no bound any more, or does not hold the model.
type boundIndex map[string]map[*entry]struct{}

// hasBound reports whether a runner is listed and cold or limited, or has said lately that
// it is limited no more.
func (e *entry) hasBound(uptime time.Duration) bool {
	if e.removed {
		return false
	}
	return e.coldUntil > uptime || e.limitRate() > 0 || e.hasLimitNews(uptime)
}

// note adds an entry that has a bound. It is called after each change that may give an entry
// one, or a model.
func (x boundIndex) note(e *entry, uptime time.Duration) {
	if !e.hasBound(uptime) {
		return
	}
	x.add("", e)
	for _, r := range e.runner.Replicas {
		x.add(r.Model, e)
	}
}

func (x boundIndex) add(model string, e *entry) {
	if x[model] == nil {
		x[model] = make(map[*entry]struct{})
	}
	x[model][e] = struct{}{}
}

// holding returns the entries that have a bound and hold a model, in no order, and drops
// what it finds of others. The empty model is held by all.
func (x boundIndex) holding(model string, uptime time.Duration) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for e := range x[model] {
			if !e.hasBound(uptime) || !e.runner.Holds(model, "") {
				delete(x[model], e)
				continue
			}
			if !yield(e) {
				return
			}
		}
		if len(x[model]) == 0 {
			delete(x, model)
		}
	}
}
