package drfleet

import (
	"maps"
	"slices"
	"strings"
)

// zoneEnd ends each name in Zones. No zone's name contains it.
const zoneEnd = "\x00"

// Zones are the availability zones in which a request may be served. The zero value binds
// it to none in particular. Zones are immutable and comparable.
type Zones struct {
	// names is empty if there is no bound, otherwise zoneEnd and then each zone in order,
	// followed by zoneEnd.
	names string
}

// ZonesOf returns the zones with the given names, in any order. None of them allow nothing.
func ZonesOf(names ...string) Zones {
	var b strings.Builder
	b.WriteString(zoneEnd)
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		b.WriteString(name)
		b.WriteString(zoneEnd)
	}
	return Zones{b.String()}
}

// Zones returns the zones in the homes. regions holds the region of each zone; a zone that
// it lacks is in no home.
func (h Homes) Zones(regions map[string]string) Zones {
	if !h.bound {
		return Zones{}
	}
	return ZonesOf(slices.DeleteFunc(slices.Collect(maps.Keys(regions)), func(zone string) bool { return !h.Allow(regions[zone]) })...)
}

// Bind reports whether the request must stay in some zones.
func (z Zones) Bind() bool { return z.names != "" }

// Allow reports whether the request may be served in a zone.
func (z Zones) Allow(zone string) bool {
	if !z.Bind() {
		return true
	}
	for name := range strings.SplitSeq(z.names[len(zoneEnd):], zoneEnd) {
		if name == zone {
			return zone != ""
		}
	}
	return false
}

// Names returns the zones in order, nil if there is no bound.
func (z Zones) Names() []string {
	if len(z.names) <= len(zoneEnd) {
		return nil
	}
	return strings.Split(z.names[len(zoneEnd):len(z.names)-len(zoneEnd)], zoneEnd)
}

// Overlap reports whether some zone may serve requests of both.
func (z Zones) Overlap(other Zones) bool {
	return !z.Bind() || !other.Bind() || slices.ContainsFunc(z.Names(), other.Allow)
}

// Within reports whether all that z allows is allowed by other, too.
func (z Zones) Within(other Zones) bool {
	if !z.Bind() {
		return !other.Bind()
	}
	return !slices.ContainsFunc(z.Names(), func(zone string) bool { return !other.Allow(zone) })
}

// Compare orders zones: those without a bound come last, those with fewer zones earlier.
func (z Zones) Compare(other Zones) int {
	switch {
	case z.Bind() != other.Bind():
		if z.Bind() {
			return -1
		}
		return 1
	case len(z.Names()) != len(other.Names()):
		return len(z.Names()) - len(other.Names())
	}
	return strings.Compare(z.names, other.names)
}
