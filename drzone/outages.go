// Package drzone keeps which availability zones operators have taken out of
// service. It does no input or output.
package drzone

import (
	"maps"
	"slices"
)

// Outages is the set of availability zones that are out of service, as the records of
// the store's topic before an offset say. The zero value is the set before the first
// record, without zones. Outages is immutable.
type Outages struct {
	// era is that of the store, whose offsets say nothing about those of other eras.
	era uint64
	end int64
	// since contains, by zone, the offset of the record that took the zone out of
	// service.
	since map[string]int64
}

// New returns the set of the zones with the offsets of their records, as of the end of
// the topic. Records at the end and after it may be among them. The caller must not
// change the map afterwards.
func New(end int64, since map[string]int64) Outages { return Outages{0, end, since} }

// InEra returns the set with offsets of an era of the store.
func (o Outages) InEra(era uint64) Outages { return Outages{era, o.end, o.since} }

// Era returns the era of the store that the offsets are of.
func (o Outages) Era() uint64 { return o.era }

// End returns the offset up to which the set takes all records into account.
func (o Outages) End() int64 { return o.end }

// Empty reports whether no zone is out of service.
func (o Outages) Empty() bool { return len(o.since) == 0 }

// Has reports whether a zone is out of service.
func (o Outages) Has(zone string) bool {
	_, ok := o.since[zone]
	return ok
}

// Zones returns the zones that are out of service, sorted.
func (o Outages) Zones() []string { return slices.Sorted(maps.Keys(o.since)) }

// Since returns the offset of the record that took a zone out of service, 0 if it is in
// service.
func (o Outages) Since(zone string) int64 { return o.since[zone] }

// Merge returns what two sets say together. Which of them was received first has no
// influence, so a set that arrives late takes nothing back: a zone that one set has and
// the other has not is out of service unless the other takes its record into account. Of two
// sets of different eras the later one holds.
func (o Outages) Merge(other Outages) Outages {
	switch {
	case o.era < other.era:
		return other
	case o.era > other.era:
		return o
	}
	merged := make(map[string]int64)
	o.addNewsFor(other, merged)
	other.addNewsFor(o, merged)
	return Outages{o.era, max(o.end, other.end), merged}
}

// addNewsFor adds the zones that the other set has too, or whose records it does not
// take into account.
func (o Outages) addNewsFor(other Outages, merged map[string]int64) {
	for zone, offset := range o.since {
		if other.Has(zone) || offset >= other.end {
			merged[zone] = max(offset, merged[zone])
		}
	}
}

// With returns the set after the record at an offset, which takes a zone out of service
// or, if back is set, back into service. A record that the set takes into account already
// changes nothing.
func (o Outages) With(zone string, offset int64, back bool) Outages {
	if offset < o.end {
		return o
	}
	since := maps.Clone(o.since)
	if since == nil {
		since = make(map[string]int64)
	}
	if back {
		delete(since, zone)
	} else {
		since[zone] = offset
	}
	return Outages{o.era, max(o.end, offset+1), since}
}

// WithEnd returns the set as of a later end of the topic, before which no further record
// concerns a zone.
func (o Outages) WithEnd(end int64) Outages { return Outages{o.era, max(o.end, end), o.since} }

// SameZones reports whether the same zones are out of service in both sets.
func (o Outages) SameZones(other Outages) bool {
	return len(o.since) == len(other.since) && !slices.ContainsFunc(o.Zones(), func(zone string) bool { return !other.Has(zone) })
}
