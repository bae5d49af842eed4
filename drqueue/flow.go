package drqueue

import (
	"slices"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

type flowKey struct {
	account  string
	priority drconfig.Priority
}

// accountFlow is the backlog of an account at one priority.
type accountFlow struct {
	key     flowKey
	weight  float64
	entries []*queueEntry
	// backlogCost is the sum of the entries' costs.
	backlogCost float64
	// startTag is the virtual start tag of the first entry.
	startTag float64
	running  int
}

// remove takes e out and reports whether it was there.
func (f *accountFlow) remove(entry *queueEntry) bool {
	i := slices.Index(f.entries, entry)
	if i < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	f.backlogCost = max(0, f.backlogCost-entry.item.Cost)
	if len(f.entries) == 0 {
		f.backlogCost = 0
	}
	return true
}
