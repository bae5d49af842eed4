package drmember

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by rendezvous hashing for key, best first. When members
// come and go, only the keys ranked first on a changed member move.
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
