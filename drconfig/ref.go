package drconfig

import (
	"cmp"
	"slices"
)

// Ref identifies an object.
type Ref struct {
	Kind Kind
	Name string
}

// String returns "KIND NAME".
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Compare orders by kind, in the order of Kinds, then by name.
func (r Ref) Compare(o Ref) int {
	return cmp.Or(cmp.Compare(slices.Index(Kinds, r.Kind), slices.Index(Kinds, o.Kind)), cmp.Compare(r.Name, o.Name))
}
