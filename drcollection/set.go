// Package drcollection provides small generic value types.
package drcollection

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. The nil Set is empty and must not be added to.
type Set[T comparable] map[T]struct{}

// Of returns a set of vs.
func Of[T comparable](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s[v] = struct{}{}
	}
	return s
}

// Add adds v.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the members of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T { return slices.Sorted(maps.Keys(s)) }
