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
func Of[T comparable](values ...T) Set[T] {
	set := make(Set[T], len(values))
	for _, v := range values {
		set[v] = struct{}{}
	}
	return set
}

// Add adds v.
func (s Set[T]) Add(value T) { s[value] = struct{}{} }

// Has reports whether v is in the set.
func (s Set[T]) Has(value T) bool {
	_, ok := s[value]
	return ok
}

// Sorted returns the members of s in ascending order.
func Sorted[T cmp.Ordered](set Set[T]) []T { return slices.Sorted(maps.Keys(set)) }
