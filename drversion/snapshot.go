package drversion

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replica identifies a replica by a hash of its model and adapter.
type Replica uint32

// ReplicaOf returns the identity of a replica. Both names are empty for plain services.
func ReplicaOf(model, adapter string) Replica {
	return Replica(xxhash.Sum64String(model + "\x00" + adapter))
}

// Snapshot says which versions serve a service at one time. The zero value says that none
// does. A Snapshot must not be changed once it is passed on.
type Snapshot struct {
	// Runners is the number of runners that take new requests, by version.
	Runners map[string]int
	// Holders contains the versions of those that hold each replica.
	Holders map[Replica][]string
}

// Add counts a runner of a version and the replicas that it holds.
func (s *Snapshot) Add(version string, replicas []Replica) {
	if s.Runners == nil {
		s.Runners, s.Holders = make(map[string]int), make(map[Replica][]string)
	}
	s.Runners[version]++
	for _, r := range replicas {
		if !slices.Contains(s.Holders[r], version) {
			s.Holders[r] = append(s.Holders[r], version)
		}
	}
}

// versions returns the versions that serve, sorted.
func (s Snapshot) versions() []string { return slices.Sorted(maps.Keys(s.Runners)) }

// fraction maps the id of a stream to a number in [0, 1), evenly.
func fraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
