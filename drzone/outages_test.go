package drzone_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drzone"
)

// topic is a topic of records that take zones out of service and back.
type topic []change

type change struct {
	zone string
	back bool
}

// read returns the set as of an end of the topic, as its newest records say. Reading
// them takes a while, so records after the end may be among them.
func (t topic) read(end int, late bool) drzone.Outages {
	since := make(map[string]int64)
	for i, c := range t {
		if i >= end && !late {
			break
		}
		delete(since, c.zone)
		if !c.back {
			since[c.zone] = int64(i)
		}
	}
	return drzone.New(int64(end), since)
}

// Guards against a VM that goes back to an older set, which a slow link or a former
// controller delivers late, and against a zone that stays out of service after it was
// taken back: whatever sets a VM is given, and in whatever order, it ends with the
// newest.
func TestOrderOfDeliveryHasNoInfluence(t *testing.T) {
	for seed := range uint64(20000) {
		r := rand.New(rand.NewPCG(seed, 36))
		var records topic
		for range 1 + r.IntN(12) {
			records = append(records, change{fmt.Sprint("zone", r.IntN(3)), r.IntN(2) == 0})
		}
		newest := records.read(len(records), false)
		sets := []drzone.Outages{newest}
		for range r.IntN(8) {
			sets = append(sets, records.read(r.IntN(len(records)+1), false))
		}
		var held drzone.Outages
		for _, i := range r.Perm(len(sets)) {
			held = held.Merge(sets[i])
		}
		if !held.SameZones(newest) || held.End() != newest.End() {
			t.Fatalf("seed %d: %v as of %d, want %v as of %d", seed, held.Zones(), held.End(), newest.Zones(), newest.End())
		}
	}
}

// Guards against losing a record that was appended while the newest records were read.
func TestRecordsReadTwiceCountOnce(t *testing.T) {
	is := is.New(t)
	records := topic{{"a", false}, {"b", false}, {"a", true}}
	held := records.read(1, true) // the store answered with the records after the end, too
	is.Equal(held.Zones(), []string{"b"})
	for offset := held.End(); offset < int64(len(records)); offset++ {
		held = held.With(records[offset].zone, offset, records[offset].back)
	}
	is.Equal(held.Zones(), []string{"b"})
	is.Equal(held.End(), int64(3))
	is.Equal(held.Since("b"), int64(1))
}

// Guards against a set that changes under those who have been given it.
func TestOutagesAreImmutable(t *testing.T) {
	is := is.New(t)
	given := map[string]int64{"a": 0}
	before := maps.Clone(given)
	set := drzone.New(1, given)
	is.True(slices.Equal(set.With("b", 1, false).Zones(), []string{"a", "b"}))
	is.True(set.With("a", 1, true).Empty())
	is.Equal(set.Merge(drzone.New(5, nil)).Zones(), nil)
	is.Equal(given, before)
	is.Equal(set.WithEnd(9).End(), int64(9))
}
