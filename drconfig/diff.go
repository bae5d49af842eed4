package drconfig

import (
	"bytes"

	"github.com/dotterelridge/dotterelridge/drcollection"
)

// Diff returns the changes that turn current into the desired configuration: puts of
// objects that are missing or differ and, if prune is set, deletes of objects that are
// not desired. Pruning affects only kinds of which at least one object is desired, so
// that files without keys, for example, never delete keys that were issued
// separately. Both results are ordered by kind and name.
func Diff(current Config, desired Objects, prune bool) (puts Objects, deletes []Ref) {
	desiredRefs, desiredKinds := drcollection.Set[Ref]{}, drcollection.Set[Kind]{}
	for _, o := range desired {
		r := o.Ref()
		desiredRefs.Add(r)
		desiredKinds.Add(r.Kind)
		old, ok := current.Object(r)
		if !ok || !bytes.Equal(EncodeObject(old), EncodeObject(o)) {
			puts = append(puts, o)
		}
	}
	sortObjects(puts)
	for _, o := range current.Objects() {
		if r := o.Ref(); prune && desiredKinds.Has(r.Kind) && !desiredRefs.Has(r) {
			deletes = append(deletes, r)
		}
	}
	return puts, deletes
}
