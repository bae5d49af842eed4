package drconfig

import (
	"maps"
	"slices"
	"strings"
)

// Contains reports whether l carries all labels of match. An empty match is
// contained in any labels.
func (l Labels) Contains(match Labels) bool {
	for k, v := range match {
		if got, ok := l[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// canonical returns a string that equal labels share.
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
