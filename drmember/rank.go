package drmember

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by rendezvous hashing for key, best first. When members
// come and go, only the keys ranked first on a changed member move.
func Rank(key string, ms []Member) []Member {
	type scored struct {
		m     Member
		score uint64
	}
	ss := make([]scored, len(ms))
	for i, m := range ms {
		ss[i] = scored{m, xxhash.Sum64String(key + "\x00" + m.VM)}
	}
	slices.SortFunc(ss, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return 0
		}
	})
	ranked := make([]Member, len(ss))
	for i, s := range ss {
		ranked[i] = s.m
	}
	return ranked
}
