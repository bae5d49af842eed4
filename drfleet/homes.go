package drfleet

import "slices"

// Homes are the regions in which a request may be served. The zero value binds it to none
// in particular. Homes are immutable.
type Homes struct {
	bound   bool
	regions []string
}

// HomesOf returns the homes of a request of a route and a client account. Where both have homes, both bind.
func HomesOf(route *Route, account *Account) Homes {
	homes := Homes{}.and(route.Homes)
	if account != nil {
		homes = homes.and(account.Homes)
	}
	return homes
}

// and returns the homes that are among the given regions, too. No regions add no bound.
func (h Homes) and(regions []string) Homes {
	if len(regions) == 0 {
		return h
	}
	if !h.bound {
		return Homes{true, regions}
	}
	return Homes{true, slices.DeleteFunc(slices.Clone(h.regions), func(r string) bool { return !slices.Contains(regions, r) })}
}

// Bind reports whether the request must stay in some regions.
func (h Homes) Bind() bool { return h.bound }

// Allow reports whether the request may be served in a region. The region "" is one that
// is not known.
func (h Homes) Allow(region string) bool {
	return !h.bound || slices.Contains(h.regions, region) && region != ""
}
