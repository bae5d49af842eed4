package drqueue

import (
	"slices"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// flowKey identifies a flow.
type flowKey struct {
	account  string
	priority drconfig.Priority
}

// accountFlow holds the waiting items of a client account at one priority.
type accountFlow struct {
	key     flowKey
	weight  float64       // share of the service in relation to other flows; see Item.weight
	entries []*queueEntry // waiting items in order of arrival
	// backlogCost is the sum of the costs of the waiting items, in tokens.
	backlogCost float64
	// startTag is the virtual start tag of the first waiting item, or, if none
	// waits, the smallest that the next item can get. With Fair, the flow with
	// the smallest start tag is served first.
	startTag float64
	running  int // granted items that were not released
}

// remove removes a waiting entry and reports whether it was there. An empty
// flow has a cost of exactly 0, whatever rounding errors added up.
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
