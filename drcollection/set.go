// Package drcollection provides a generic set.
package drcollection

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. A nil Set is empty, and adding to it panics. A Set is not
// safe for concurrent use while it is modified.
type Set[T comparable] map[T]struct{}

// NewSet returns a new set that contains the given values.
func NewSet[T comparable](values ...T) Set[T] {
	set := make(Set[T], len(values))
	for _, v := range values {
		set[v] = struct{}{}
	}
	return set
}

// Add adds a value. It has no effect if the set contains the value already.
func (s Set[T]) Add(value T) { s[value] = struct{}{} }

// Has reports whether the set contains a value.
func (s Set[T]) Has(value T) bool {
	_, ok := s[value]
	return ok
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](set Set[T]) []T { return slices.Sorted(maps.Keys(set)) }
