package drversion

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxStreams is how many streams are remembered at most.
const maxStreams = 1 << 16

// Key identifies a stream by a hash of its service and of the id of the request that began it.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(service, id string) Key { return Key(xxhash.Sum64String(service + "\x00" + id)) }

// Beginning says at which version a stream began.
type Beginning struct {
	Key     Key
	Version string
}

// Streams remembers at which versions streams began, each for Retention. Beginnings are numbered
// from 1 on, in the order in which they were added. It is not safe for concurrent use.
type Streams struct {
	numbers map[Key]uint64
	// added holds the last beginnings, the oldest first; first is the number of that one.
	added []addedBeginning
	first uint64
}

// addedBeginning is a Beginning with the uptime at which it was added, and the term of the
// controller that named it, 0 if none did. Its version is empty if others were named for the same
// key.
type addedBeginning struct {
	Beginning
	at   time.Duration
	term uint64
}

// NewStreams returns Streams that remember none.
func NewStreams() *Streams { return &Streams{numbers: make(map[Key]uint64), first: 1} }

// Add remembers a beginning. term is that of the controller that named it, 0 if none did.
func (s *Streams) Add(b Beginning, term uint64, now time.Duration) {
	s.prune(now)
	if n, known := s.numbers[b.Key]; known {
		if x := &s.added[n-s.first]; x.Version != b.Version {
			x.Version = ""
		}
		return
	}
	s.numbers[b.Key] = s.first + uint64(len(s.added))
	s.added = append(s.added, addedBeginning{b, now, term})
}

// prune forgets what is too old or too much.
func (s *Streams) prune(now time.Duration) {
	for len(s.added) > 0 && (s.added[0].at < now-Retention || len(s.added) >= maxStreams) {
		delete(s.numbers, s.added[0].Key)
		s.added, s.first = s.added[1:], s.first+1
	}
}

// Version returns the version at which a stream began.
func (s *Streams) Version(key Key) (version string, known bool) {
	n, known := s.numbers[key]
	if !known || s.added[n-s.first].Version == "" {
		return "", false
	}
	return s.added[n-s.first].Version, true
}

// After returns beginnings with numbers above a given one, at most limit, and the number up to
// which they are all. It leaves out those that the controller of a term has named.
func (s *Streams) After(number uint64, limit int, term uint64) (beginnings []Beginning, upTo uint64) {
	upTo = max(number, s.first-1)
	for _, x := range s.added[upTo+1-s.first:] {
		if len(beginnings) == limit {
			break
		}
		if upTo++; x.Version != "" && x.term != term {
			beginnings = append(beginnings, x.Beginning)
		}
	}
	return beginnings, upTo
}
