package drconfig

import "slices"

// matcher finds the selectors that match given labels. Selectors with the same
// match are tested once, and objects with the same labels are matched once,
// because large configurations repeat both.
type matcher struct {
	groups []matchGroup
	cache  map[string][]int32
}

type matchGroup struct {
	match     Labels
	selectors []int32
}

func newMatcher(selectors []Selector, matchOf func(Selector) Labels) *matcher {
	m := &matcher{cache: map[string][]int32{}}
	index := map[string]int{}
	for i, s := range selectors {
		match := matchOf(s)
		key := match.canonical()
		g, ok := index[key]
		if !ok {
			g = len(m.groups)
			index[key] = g
			m.groups = append(m.groups, matchGroup{match: match})
		}
		m.groups[g].selectors = append(m.groups[g].selectors, int32(i))
	}
	return m
}

// match returns the indexes of the matching selectors, ascending.
func (m *matcher) match(l Labels) []int32 {
	key := l.canonical()
	if found, ok := m.cache[key]; ok {
		return found
	}
	var found []int32
	for _, g := range m.groups {
		if l.Contains(g.match) {
			found = append(found, g.selectors...)
		}
	}
	slices.Sort(found)
	m.cache[key] = found
	return found
}
