package drplacement

import (
	"cmp"
	"maps"
	"slices"
)

// Offset returns the offset of the last applied record, accepted or not.
func (l *Ledger) Offset() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.offset
}

// Owner returns the ownership of a runner. Its VM is empty if the runner has no
// owner, and all fields are zero if the runner is unknown.
func (l *Ledger) Owner(runner string) Ownership {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r := l.runners[runner]; r != nil {
		return r.owner
	}
	return Ownership{}
}

// Runners returns the runners that have an owner, a right or an intent, sorted.
func (l *Ledger) Runners() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Sorted(maps.Keys(l.runners))
}

// Rights returns a copy of the rights to a model, oldest grant first, including
// those in excess.
func (l *Ledger) Rights(model string) []Right {
	l.mu.RLock()
	defer l.mu.RUnlock()
	m := l.models[model]
	if m == nil {
		return nil
	}
	rs := slices.Clone(m.rights)
	for i := range rs {
		rs[i].Excess = i >= m.max
	}
	return rs
}

// RightsOn returns a copy of the rights on a runner, by model. It is nil if the
// runner is unknown.
func (l *Ledger) RightsOn(runner string) map[string]Right {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.runners[runner]
	if r == nil {
		return nil
	}
	rs := make(map[string]Right, len(r.rights))
	for model, grant := range r.rights {
		rs[model] = Right{Runner: runner, Grant: grant, Excess: l.isExcess(model, grant)}
	}
	return rs
}

// Decided returns the decided maximum number of replicas of a model and the
// config offset that it comes from, both 0 if none was decided.
func (l *Ledger) Decided(model string) (limit int, configOffset uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if m := l.models[model]; m != nil {
		return m.max, m.configOffset
	}
	return 0, 0
}

// Models returns the models that have a right or a decided number above 0,
// sorted.
func (l *Ledger) Models() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var names []string
	for name, m := range l.models {
		if m.max > 0 || len(m.rights) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Intents returns a copy of the open intents on a runner, whose orders may
// still arrive.
func (l *Ledger) Intents(runner string) []Intent {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r := l.runners[runner]; r != nil {
		return slices.Clone(r.intents)
	}
	return nil
}

// Slots returns the held slots of a kind, sorted by number.
func (l *Ledger) Slots(kind SlotKind) []Slot {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var ss []Slot
	for k, s := range l.slots {
		if k.kind == kind {
			ss = append(ss, s)
		}
	}
	slices.SortFunc(ss, func(a, b Slot) int { return cmp.Compare(a.Number, b.Number) })
	return ss
}

// intentsByRunner returns the open intents of all runners that have some.
func (l *Ledger) intentsByRunner() map[string][]Intent {
	l.mu.RLock()
	defer l.mu.RUnlock()
	d := make(map[string][]Intent)
	for name, r := range l.runners {
		if len(r.intents) > 0 {
			d[name] = slices.Clone(r.intents)
		}
	}
	return d
}
