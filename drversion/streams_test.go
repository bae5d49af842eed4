package drversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against streams that are remembered without end, and against numbers of forgotten ones
// that hide later ones from other VMs.
func TestStreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	for i := range maxStreams + 10 {
		s.Add(Beginning{Key: Key(i), Version: "v1"}, uint64(i%2), 0)
	}
	_, known := s.Version(9)
	is.True(!known)
	_, known = s.Version(11)
	is.True(known)
	is.Equal(len(s.numbers), maxStreams)
	beginnings, upTo := s.After(3, 100, 7, 0)
	is.Equal(len(beginnings), 100)
	is.Equal(beginnings[0].Key, Key(10))
	beginnings, _ = s.After(upTo, 10, 1, 0)
	is.Equal(len(beginnings), 10)
	is.Equal(beginnings[0].Key, Key(110))
	s.Add(Beginning{Key: Key(1), Version: "v2"}, 0, 2*Retention)
	version, known := s.Version(1)
	is.True(known)
	is.Equal(version, "v2")
	is.Equal(len(s.numbers), 1)
	beginnings, upTo = s.After(upTo, 10, 7, 2*Retention)
	is.Equal(beginnings, []Beginning{{Key: Key(1), Version: "v2"}})
	beginnings, _ = s.After(upTo, 10, 7, 2*Retention)
	is.Equal(len(beginnings), 0)
}

// Guards against a version that is named although clients have begun two streams with one id.
func TestStreamsOfOneIDHaveNoVersion(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	for _, version := range []string{"v1", "v1", "v2", "v1"} {
		s.Add(Beginning{Key: KeyOf("llm", "x"), Version: version}, 0, time.Second)
	}
	_, known := s.Version(KeyOf("llm", "x"))
	is.True(!known)
	beginnings, _ := s.After(0, 10, 7, time.Second)
	is.Equal(len(beginnings), 0)
	is.True(KeyOf("llm", "x") != KeyOf("ll", "mx"))
}

func ExampleStreams() {
	s := NewStreams()
	s.Add(Beginning{Key: KeyOf("llm", "request-1"), Version: "v2"}, 0, 0)
	fmt.Println(s.Version(KeyOf("llm", "request-1")))
	// Output: v2 true
}

// Guards against streams that are remembered for another minute by each VM that hears of them, and
// against older ones that push newer ones out because they were heard of later.
func TestStreamsHandedOnCountFromTheirBeginning(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	s.Add(Beginning{Key: 1, Version: "v1", Age: Retention - 2*time.Second}, 0, time.Minute)
	beginnings, _ := s.After(0, 10, 7, time.Minute+time.Second)
	is.Equal(beginnings, []Beginning{{Key: 1, Version: "v1", Age: Retention - time.Second}})
	s.Add(Beginning{Key: 2, Version: "v1", Age: Retention + time.Second}, 0, time.Minute)
	_, known := s.Version(2)
	is.True(!known)
	s.Add(Beginning{Key: 3, Version: "v1"}, 0, time.Minute+4*time.Second)
	_, known = s.Version(1)
	is.True(!known)
	for i := range maxStreams {
		s.Add(Beginning{Key: Key(10 + i), Version: "v1", Age: 10 * time.Second}, 0, time.Minute+5*time.Second)
	}
	_, known = s.Version(3)
	is.True(known)
	is.Equal(len(s.numbers), maxStreams)
}
