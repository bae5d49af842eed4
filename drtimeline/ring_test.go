package drtimeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Guards against a receive event that is ordered before its send event because the
// receiver's wall clock is behind the sender's.
func TestStampsFollowMessagesDespiteSkew(t *testing.T) {
	is := is.New(t)
	ahead := drtimeline.NewHybridClock(drclock.NewFake(time.UnixMilli(50_000)))
	behind := drtimeline.NewHybridClock(drclock.NewFake(time.UnixMilli(1_000)))
	sent := ahead.Now()
	behind.Observe(sent)
	is.True(behind.Now() > sent)
}

// Guards against a ring that grows beyond its capacity, keeps the wrong events after
// it wraps around, or returns them out of order.
func TestRingKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	ring := drtimeline.NewRing(drtimeline.NewHybridClock(drclock.NewFake(time.UnixMilli(0))), "vm-1", 2)
	for _, n := range []string{"a", "b", "c"} {
		ring.Record(drtimeline.Event{Name: n})
	}
	events := ring.Events()
	is.Equal(len(events), 2)
	is.Equal(events[0].Name, "b")
	is.Equal(events[1].Name, "c")
	is.True(events[0].Stamp < events[1].Stamp)
	is.Equal(ring.Overwritten(), int64(1))
}
