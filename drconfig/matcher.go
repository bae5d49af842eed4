package drconfig

import (
	"maps"
	"slices"
)

// matcher finds the selectors that match given labels. Large configurations have many
// selectors with the same match and many objects with the same labels. Therefore
// selectors with the same match form a group that is tested once, and results are cached
// by labels. Groups are looked up by one label of their match, because testing 1,000
// groups for each of 1,000 accounts took 100 ms. A matcher is not safe for concurrent
// use.
type matcher struct {
	byLabel  map[[2]string][]*matchGroup // by the name and value of the match's first label
	matchAll *matchGroup                 // the group with the empty match; nil if none
	cache    map[string][]int32          // by Labels.canonical
}

// matchGroup holds the indexes of all selectors with the same match.
type matchGroup struct {
	match     Labels
	selectors []int32
}

// newMatcher returns a matcher over the selectors. matchOf returns the labels that a
// selector requires.
func newMatcher(selectors []Selector, matchOf func(Selector) Labels) *matcher {
	m := &matcher{byLabel: map[[2]string][]*matchGroup{}, cache: map[string][]int32{}}
	groups := map[string]*matchGroup{}
	for i, s := range selectors {
		match := matchOf(s)
		key := match.canonical()
		group := groups[key]
		if group == nil {
			group = &matchGroup{match: match}
			groups[key] = group
			m.addGroup(group)
		}
		group.selectors = append(group.selectors, int32(i))
	}
	return m
}

func (m *matcher) addGroup(group *matchGroup) {
	if len(group.match) == 0 {
		m.matchAll = group
		return
	}
	first := slices.Min(slices.Collect(maps.Keys(group.match)))
	label := [2]string{first, group.match[first]}
	m.byLabel[label] = append(m.byLabel[label], group)
}

// match returns the indexes of the selectors that match the labels, ascending. Callers
// must not modify the slice, because it is shared through the cache.
func (m *matcher) match(labels Labels) []int32 {
	key := labels.canonical()
	if found, ok := m.cache[key]; ok {
		return found
	}
	var found []int32
	if m.matchAll != nil {
		found = append(found, m.matchAll.selectors...)
	}
	for name, value := range labels {
		for _, group := range m.byLabel[[2]string{name, value}] {
			if labels.Contains(group.match) {
				found = append(found, group.selectors...)
			}
		}
	}
	slices.Sort(found)
	m.cache[key] = found
	return found
}
