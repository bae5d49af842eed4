package drfleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Guards against serving a request outside its homes: if only the route or only the client
// account has some, if the homes of both have nothing in common, and in a region that is
// not known.
func TestHomesOfRouteAndAccountBothBind(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		route, account string
		north, south   bool
	}{{"", "", true, true}, {"north", "", true, false}, {"", "south", false, true}, {"north", "south", false, false}, {"south", "south", false, true}} {
		list := func(region string) []string {
			if region == "" {
				return nil
			}
			return []string{region}
		}
		homes := drfleet.HomesOf(&drfleet.Route{Homes: list(c.route)}, &drfleet.Account{Homes: list(c.account)})
		is.Equal(homes.Allow("north"), c.north)
		is.Equal(homes.Allow("south"), c.south)
		is.Equal(homes.Bind(), c.route != "" || c.account != "")
		is.Equal(homes.Allow(""), !homes.Bind())
	}
	is.True(!drfleet.HomesOf(&drfleet.Route{}, nil).Bind())
}
