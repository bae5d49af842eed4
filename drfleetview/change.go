package drfleetview

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// minLoggedChanges is the length up to which the log of changes keeps entries that
// have changed again.
const minLoggedChanges = 64

// Change is a runner whose entry in the table has changed. Gone is set if the
// runner was removed; Runner is then its last description. Update is set if a VM with the
// table of the requested revision already has the runner's service, address, zone and
// slots.
type Change struct {
	Runner       *drfleet.Runner
	Gone, Update bool
	Cold         time.Duration // time left for which the runner is cold
}

// loggedChange says which entry changed for other VMs with a revision. It is void
// once the entry has changed again.
type loggedChange struct {
	revision uint64
	entry    *entry
}

// logChange adds an entry to the log of changes, whose length stays in proportion to
// the table. The caller holds mu.
func (v *View) logChange(e *entry) {
	if len(v.changes) >= max(2*len(v.runners), minLoggedChanges) {
		v.changes = slices.DeleteFunc(v.changes, func(c loggedChange) bool { return c.entry.changedRevision != c.revision })
	}
	e.changedRevision = e.revision
	v.changes = append(v.changes, loggedChange{e.revision, e})
}

// Changes returns the entries that changed for other VMs after a revision, sorted by
// id, and the current revision, to pass to the next call. Revision 0 selects all.
func (v *View) Changes(after uint64) ([]Change, uint64) {
	cs, revision, _ := v.NextChanges(after, math.MaxInt)
	return cs, revision
}

// NextChanges is Changes limited to the oldest so many changes. The revision is then
// that of the newest of them, and more is set.
func (v *View) NextChanges(after uint64, limit int) (cs []Change, revision uint64, more bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	begin, _ := slices.BinarySearchFunc(v.changes, after+1, func(c loggedChange, r uint64) int { return cmp.Compare(c.revision, r) })
	revision = after
	uptime := v.clock.Uptime()
	for _, c := range v.changes[begin:] {
		e := c.entry
		if e.changedRevision != c.revision {
			continue
		}
		if more = len(cs) == limit; more {
			break
		}
		cs = append(cs, Change{Runner: e.runner, Gone: e.removed, Update: !e.removed && e.identityRevision <= after, Cold: e.statedCold(uptime)})
		revision = c.revision
	}
	if !more {
		revision = v.revision
	}
	slices.SortFunc(cs, func(a, b Change) int { return cmp.Compare(a.Runner.ID, b.Runner.ID) })
	return cs, revision, more
}
