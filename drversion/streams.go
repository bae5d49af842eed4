package drversion

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxStreams is how many streams are remembered at most.
	maxStreams = 1 << 16
	// minCompacted is how many entries of forgotten streams are left out at a time, at least.
	minCompacted = 1 << 12
)

// Key identifies a stream by a hash of its service and of the id of the request that began it.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(service, id string) Key { return Key(xxhash.Sum64String(service + "\x00" + id)) }

// Beginning says at which version a stream began, and how long ago.
type Beginning struct {
	Key     Key
	Version string
	Age     time.Duration
}

// Streams remembers at which versions streams began, each for Retention. Where more begin, the
// oldest are forgotten first, whenever this VM has heard of them. Beginnings are numbered from 1
// on, in the order in which they were added. It is not safe for concurrent use.
type Streams struct {
	numbers map[Key]uint64
	// added holds beginnings by number, those that are forgotten, too, until it is compacted. last
	// is the number of the last one.
	added []addedBeginning
	last  uint64
	// seconds holds the streams by the second of the uptime in which they began. There are none
	// before oldest.
	seconds map[int64][]Key
	oldest  int64
}

// addedBeginning is a beginning with the uptime at which the stream began, and the term of the
// controller that named it, 0 if none did. Its version is empty if others were named for the same
// key.
type addedBeginning struct {
	key     Key
	version string
	number  uint64
	beganAt time.Duration
	term    uint64
}

// NewStreams returns Streams that remember none.
func NewStreams() *Streams {
	return &Streams{numbers: make(map[Key]uint64), seconds: make(map[int64][]Key)}
}

// Add remembers a beginning. term is that of the controller that named it, 0 if none did.
func (s *Streams) Add(b Beginning, term uint64, now time.Duration) {
	s.prune(now)
	if n, known := s.numbers[b.Key]; known {
		if x := &s.added[s.index(n)]; x.version != b.Version {
			x.version = ""
		}
		return
	}
	if b.Age > Retention {
		return
	}
	beganAt := now - b.Age
	second := secondOf(beganAt)
	if len(s.numbers) == 0 {
		s.oldest = second
	}
	s.oldest = min(s.oldest, second)
	s.seconds[second] = append(s.seconds[second], b.Key)
	s.last++
	s.numbers[b.Key] = s.last
	s.added = append(s.added, addedBeginning{b.Key, b.Version, s.last, beganAt, term})
	if len(s.numbers) > maxStreams {
		s.forgetOldest()
	}
	if len(s.added) > 2*len(s.numbers)+minCompacted {
		s.added = slices.DeleteFunc(s.added, func(x addedBeginning) bool { return !s.remembers(x) })
	}
}

func secondOf(uptime time.Duration) int64 { return int64(uptime / time.Second) }

// index returns the index of the first entry with a number, or a higher one.
func (s *Streams) index(number uint64) int {
	i, _ := slices.BinarySearchFunc(s.added, number, func(x addedBeginning, n uint64) int { return cmp.Compare(x.number, n) })
	return i
}

// remembers reports whether the stream of an entry is not forgotten.
func (s *Streams) remembers(x addedBeginning) bool { return s.numbers[x.key] == x.number }

// prune forgets the streams of seconds that are too long ago.
func (s *Streams) prune(now time.Duration) {
	for from := secondOf(now - Retention); len(s.numbers) > 0 && s.oldest < from; s.oldest++ {
		for _, key := range s.seconds[s.oldest] {
			delete(s.numbers, key)
		}
		delete(s.seconds, s.oldest)
	}
}

// forgetOldest forgets one stream of the first second in which any began.
func (s *Streams) forgetOldest() {
	for len(s.seconds[s.oldest]) == 0 {
		delete(s.seconds, s.oldest)
		s.oldest++
	}
	keys := s.seconds[s.oldest]
	delete(s.numbers, keys[0])
	s.seconds[s.oldest] = keys[1:]
}

// Version returns the version at which a stream began.
func (s *Streams) Version(key Key) (version string, known bool) {
	n, known := s.numbers[key]
	if !known {
		return "", false
	}
	version = s.added[s.index(n)].version
	return version, version != ""
}

// After returns beginnings with numbers above a given one, at most limit, and the number up to
// which they are all. It leaves out those that the controller of a term has named.
func (s *Streams) After(number uint64, limit int, term uint64, now time.Duration) (beginnings []Beginning, upTo uint64) {
	upTo = number
	for _, x := range s.added[s.index(number+1):] {
		if len(beginnings) == limit {
			break
		}
		upTo = x.number
		if x.version != "" && x.term != term && s.remembers(x) {
			beginnings = append(beginnings, Beginning{x.key, x.version, now - x.beganAt})
		}
	}
	return beginnings, upTo
}
