package drconfig

import (
	"slices"
	"time"
)

// DefaultIdleTimeout is the idle timeout of models for which no selector states one.
const DefaultIdleTimeout = 5 * time.Minute

// selectorIndex holds the combined effect of all selectors on each account, model and
// adapter. It is immutable once built, and is rebuilt only when a model, adapter,
// account or selector changes.
type selectorIndex struct {
	selectors []Selector // by name
	// byAccount and byTarget hold the matching selectors as ascending indexes
	// into selectors. Objects with equal labels share one slice.
	byAccount    map[string][]int32
	byTarget     map[string][]int32       // by name of the model or adapter
	limits       map[string]Limit         // by account
	replicas     map[string]Range         // by model
	idleTimeouts map[string]time.Duration // by model; 0 if not stated
}

func newSelectorIndex(c Config) *selectorIndex {
	index := &selectorIndex{
		selectors:    c.Selectors(),
		byAccount:    make(map[string][]int32, len(c.accounts)),
		byTarget:     make(map[string][]int32, len(c.models)+len(c.adapters)),
		limits:       make(map[string]Limit, len(c.accounts)),
		replicas:     make(map[string]Range, len(c.models)),
		idleTimeouts: make(map[string]time.Duration, len(c.models)),
	}
	accounts := newMatcher(index.selectors, func(s Selector) Labels { return s.Accounts })
	models := newMatcher(index.selectors, func(s Selector) Labels { return s.Models })
	for name, a := range c.accounts {
		index.byAccount[name] = accounts.match(a.Labels)
		for _, i := range index.byAccount[name] {
			if s := index.selectors[i]; s.Rate > 0 {
				index.limits[name] = Limit{s.Rate, s.Burst}
				break
			}
		}
	}
	for name, m := range c.models {
		index.byTarget[name] = models.match(m.Labels)
		index.applySelectors(name, index.byTarget[name])
	}
	for name, a := range c.adapters {
		own := models.match(a.Labels)
		index.applySelectors(a.Base, own)
		index.byTarget[name] = union(own, models.match(c.models[a.Base].Labels))
	}
	return index
}

// applySelectors raises a model's replicas and idle timeout to those of the selectors
// with the given indexes, where theirs are larger.
func (index *selectorIndex) applySelectors(model string, selectors []int32) {
	for _, i := range selectors {
		s := index.selectors[i]
		r := index.replicas[model]
		index.replicas[model] = Range{max(r.Min, s.Replicas.Min), max(r.Max, s.Replicas.Max)}
		index.idleTimeouts[model] = max(index.idleTimeouts[model], time.Duration(s.IdleTimeout))
	}
}

// union returns the ascending union of two ascending lists. To save memory it returns
// one of the lists itself where possible.
func union(a, b []int32) []int32 {
	if len(a) == 0 || slices.Equal(a, b) {
		return b
	}
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// Limit returns the token limit of the account. It returns false if there is no such
// account or no selector states a limit for it; such an account gets no tokens.
func (c Config) Limit(account string) (Limit, bool) {
	if c.index == nil {
		return Limit{}, false
	}
	l, ok := c.index.limits[account]
	return l, ok
}

// Replicas returns the allowed number of replicas of the model: the largest Min and
// the largest Max over the selectors that match the model or one of its adapters. The
// zero Range means that the model must not be loaded.
func (c Config) Replicas(model string) Range {
	if c.index == nil {
		return Range{}
	}
	return c.index.replicas[model]
}

// IdleTimeout returns how long the model stays loaded without requests: the longest
// timeout over the matching selectors, or DefaultIdleTimeout.
func (c Config) IdleTimeout(model string) time.Duration {
	if c.index != nil && c.index.idleTimeouts[model] > 0 {
		return c.index.idleTimeouts[model]
	}
	return DefaultIdleTimeout
}

// Allowed returns how the account may use the target, a model or adapter, and false if
// it may not. It may if one selector matches both. An adapter is matched by its own
// labels or by those of its base, because a selector that matches a model covers
// everything that runs on it. Matching an adapter does not give access to its base.
func (c Config) Allowed(account, target string) (Entitlement, bool) {
	if c.index == nil {
		return Entitlement{}, false
	}
	priority, ok := c.index.mostUrgent(c.index.byAccount[account], c.index.byTarget[target])
	if !ok {
		return Entitlement{}, false
	}
	if a, ok := c.adapters[target]; ok {
		return Entitlement{Priority: priority, Model: a.Base, Adapter: target}, true
	}
	return Entitlement{Priority: priority, Model: target}, true
}

// mostUrgent returns the most urgent priority among the selectors that are in both
// ascending lists, false if there are none. To save time it searches the longer list
// for the members of the shorter one.
func (index *selectorIndex) mostUrgent(a, b []int32) (Priority, bool) {
	if len(a) > len(b) {
		a, b = b, a
	}
	best, found := len(Priorities), false
	for _, i := range a {
		if _, ok := slices.BinarySearch(b, i); ok {
			best, found = min(best, index.selectors[i].Priority.rank()), true
		}
	}
	if !found {
		return "", false
	}
	return Priorities[best], true
}

// ModelsFor returns the sorted names of all models and adapters that the account may
// use, nil if none.
func (c Config) ModelsFor(account string) []string {
	if c.index == nil {
		return nil
	}
	var names []string
	selectors := c.index.byAccount[account]
	for name, t := range c.index.byTarget {
		if _, ok := c.index.mostUrgent(selectors, t); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
