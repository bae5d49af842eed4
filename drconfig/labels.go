package drconfig

import (
	"maps"
	"slices"
	"strings"
)

// Contains reports whether l has all labels of match, with the same values. It is
// always true for an empty match.
func (l Labels) Contains(match Labels) bool {
	for k, v := range match {
		if got, ok := l[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// canonical returns a string that is the same for equal labels, for use as a map key.
func (l Labels) canonical() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l)) {
		b.WriteString(k)
		b.WriteByte(0)
		b.WriteString(l[k])
		b.WriteByte(0)
	}
	return b.String()
}
