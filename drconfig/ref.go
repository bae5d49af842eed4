package drconfig

import (
	"cmp"
	"slices"
)

// Ref identifies an object by its kind and name. The name of a Key is its ID.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the kind and the name, separated by a space.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Compare returns -1, 0 or 1, comparing by kind, in the order of Kinds, then by name.
func (r Ref) Compare(o Ref) int {
	return cmp.Or(cmp.Compare(slices.Index(Kinds, r.Kind), slices.Index(Kinds, o.Kind)), cmp.Compare(r.Name, o.Name))
}
