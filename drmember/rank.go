package drmember

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members ordered by rendezvous hashing for key, the best first;
// the argument is not modified. When a member is added or removed, the first
// member changes only for the keys for which that member ranks first.
func Rank(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	byScore := make([]scored, len(members))
	for i, m := range members {
		byScore[i] = scored{m, xxhash.Sum64String(key + "\x00" + m.VM)}
	}
	slices.SortFunc(byScore, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return 0
		}
	})
	ranked := make([]Member, len(byScore))
	for i, s := range byScore {
		ranked[i] = s.member
	}
	return ranked
}
