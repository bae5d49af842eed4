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
		s.Add(Beginning{Key(i), "v1"}, uint64(i%2), 0)
	}
	_, known := s.Version(9)
	is.True(!known)
	_, known = s.Version(11)
	is.True(known)
	is.Equal(len(s.numbers), maxStreams)
	beginnings, upTo := s.After(3, 100, 7)
	is.Equal(len(beginnings), 100)
	is.Equal(beginnings[0].Key, Key(10))
	beginnings, _ = s.After(upTo, 10, 1)
	is.Equal(len(beginnings), 10)
	is.Equal(beginnings[0].Key, Key(110))
	s.Add(Beginning{Key(1), "v2"}, 0, 2*Retention)
	version, known := s.Version(1)
	is.True(known)
	is.Equal(version, "v2")
	is.Equal(len(s.numbers), 1)
	beginnings, upTo = s.After(upTo, 10, 7)
	is.Equal(beginnings, []Beginning{{Key(1), "v2"}})
	beginnings, _ = s.After(upTo, 10, 7)
	is.Equal(len(beginnings), 0)
}

// Guards against a version that is named although clients have begun two streams with one id.
func TestStreamsOfOneIDHaveNoVersion(t *testing.T) {
	is := is.New(t)
	s := NewStreams()
	for _, version := range []string{"v1", "v1", "v2", "v1"} {
		s.Add(Beginning{KeyOf("llm", "x"), version}, 0, time.Second)
	}
	_, known := s.Version(KeyOf("llm", "x"))
	is.True(!known)
	beginnings, _ := s.After(0, 10, 7)
	is.Equal(len(beginnings), 0)
	is.True(KeyOf("llm", "x") != KeyOf("ll", "mx"))
}

func ExampleStreams() {
	s := NewStreams()
	s.Add(Beginning{KeyOf("llm", "request-1"), "v2"}, 0, 0)
	fmt.Println(s.Version(KeyOf("llm", "request-1")))
	// Output: v2 true
}
