package drfleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Guards against a zone that counts as home by a part of its name, if its region is not
// known or is no home, and against homes without zones that allow all.
func TestZonesOfHomes(t *testing.T) {
	is := is.New(t)
	regions := map[string]string{"z1": "north", "z10": "south", "z2": "north", "z3": ""}
	zones := drfleet.HomesOf(&drfleet.Route{Homes: []string{"north"}}, nil).Zones(regions)
	is.Equal(zones, drfleet.ZonesOf("z2", "z1", "z2"))
	is.Equal(zones.Names(), []string{"z1", "z2"})
	for zone, allowed := range map[string]bool{"z1": true, "z2": true, "z10": false, "z3": false, "z": false, "": false, "z4": false} {
		is.Equal(zones.Allow(zone), allowed)
		is.True(drfleet.Zones{}.Allow(zone))
		is.True(!drfleet.ZonesOf().Allow(zone))
	}
	is.Equal(drfleet.HomesOf(&drfleet.Route{}, nil).Zones(regions), drfleet.Zones{})
	is.Equal(drfleet.HomesOf(&drfleet.Route{Homes: []string{"west"}}, nil).Zones(regions), drfleet.ZonesOf())
	is.True(drfleet.ZonesOf().Bind())
	is.Equal(len(drfleet.ZonesOf().Names()), 0)
}

// Guards against zones that count as others' part or as overlapping them if they are not.
func TestZonesWithinOthers(t *testing.T) {
	is := is.New(t)
	all, none, one, two, other := drfleet.Zones{}, drfleet.ZonesOf(), drfleet.ZonesOf("a"), drfleet.ZonesOf("a", "b"), drfleet.ZonesOf("b", "c")
	for _, c := range []struct {
		left, right     drfleet.Zones
		within, overlap bool
	}{{all, all, true, true}, {one, all, true, true}, {all, one, false, true}, {one, two, true, true}, {two, one, false, true},
		{two, other, false, true}, {one, other, false, false}, {none, one, true, false}, {one, none, false, false}} {
		is.Equal(c.left.Within(c.right), c.within)
		is.Equal(c.left.Overlap(c.right), c.overlap)
	}
	is.True(one.Compare(two) < 0)
	is.True(two.Compare(all) < 0)
	is.True(all.Compare(one) > 0)
	is.Equal(two.Compare(two), 0)
}
