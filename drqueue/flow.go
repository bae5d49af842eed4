package drqueue

import (
	"slices"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

type flowKey struct {
	account  string
	priority drconfig.Priority
}

// flow is the backlog of an account at one priority.
type flow struct {
	key     flowKey
	weight  float64
	entries []*entry
	// cost is the sum of the entries' costs.
	cost float64
	// next is the virtual start tag of the first entry.
	next    float64
	running int
}

// remove takes e out and reports whether it was there.
func (f *flow) remove(e *entry) bool {
	i := slices.Index(f.entries, e)
	if i < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	f.cost = max(0, f.cost-e.item.Cost)
	if len(f.entries) == 0 {
		f.cost = 0
	}
	return true
}
