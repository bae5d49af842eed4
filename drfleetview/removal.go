package drfleetview

import (
	"github.com/dotterelridge/dotterelridge/drstore"
)

//go:generate stringer -type=Offer -linecomment

// Offer is what became of a description of a runner that a View was offered.
type Offer int

// What became of it. Older means that a later reading of the store has not found the runner.
const (
	Unchanged Offer = iota // unchanged
	Updated                // updated
	Listed                 // listed
	Older                  // older
)

// Changed reports whether anything changed that matters to requests.
func (o Offer) Changed() bool { return o == Updated || o == Listed }

// knowsNewer reports whether this VM knows from a later reading of the store whether the
// runner of an entry, nil if there is none, is listed. It does not without a reading to
// compare with. The caller holds mu.
func (v *View) knowsNewer(e *entry, asOf drstore.Position) bool {
	known := v.tableAsOf
	if e != nil {
		known = known.Newest(e.asOf)
	}
	return asOf.Known() && asOf.Before(known)
}

// MissesAsOf reports whether this VM knows from a later reading of the store than that of a
// controller that a runner is not listed.
func (v *View) MissesAsOf(id string, asOf drstore.Position) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.runners[id]
	if e != nil && !e.removed || !v.knowsNewer(e, asOf) {
		return false
	}
	v.noteDisagreement(e)
	return true
}

// ListedAsOf returns the newest reading of the store that has listed a runner, as of which it
// was described last, zero if none is known.
func (v *View) ListedAsOf(id string) drstore.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.runners[id]; ok && !e.removed {
		return e.asOf
	}
	return drstore.Position{}
}

// noteOwnReading records that this VM's own reading of the store has changed which runners
// are listed. The caller holds mu.
func (v *View) noteOwnReading(source Source, asOf drstore.Position) {
	if source == FromRunner {
		v.ownReading = v.ownReading.Newest(asOf)
	}
}

// noteDisagreement records that a controller has said otherwise of an entry, nil if there is
// none, than this VM knows from a later reading. The caller holds mu.
func (v *View) noteDisagreement(e *entry) {
	v.ownReading = v.ownReading.Newest(v.tableAsOf)
	if e != nil {
		v.ownReading = v.ownReading.Newest(e.asOf)
	}
}

// OwnReading returns the newest reading of the store by which this VM itself knows other
// runners than a controller may know, zero if there is none. One that has not read so far knows
// less.
func (v *View) OwnReading() drstore.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownReading
}

// ForgetOwnReading records that the table has been compared with that of a controller as of a
// reading, so that OwnReading returns none until a later one differs.
func (v *View) ForgetOwnReading(asOf drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !asOf.Before(v.ownReading) {
		v.ownReading = drstore.Position{}
	}
}

// ConfirmTable records that the table is complete as of a reading of the store.
func (v *View) ConfirmTable(asOf drstore.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tableAsOf = v.tableAsOf.Newest(asOf)
}

// TableAsOf returns the newest reading of ConfirmTable.
func (v *View) TableAsOf() drstore.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tableAsOf
}

// RemoveRunner marks a runner as removed and reports whether it was listed.
func (v *View) RemoveRunner(id string) bool {
	return v.RemoveRunnerAsOf(id, FromController, drstore.Position{}).Changed()
}

// RemoveRunnerAsOf is RemoveRunner as of a reading of the store, according to a source. It
// keeps a runner that a later reading has found.
func (v *View) RemoveRunnerAsOf(id string, source Source, asOf drstore.Position) Offer {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok {
		return Unchanged
	}
	return v.remove(e, source, asOf)
}

// remove is RemoveRunnerAsOf for an entry. The caller holds mu.
func (v *View) remove(e *entry, source Source, asOf drstore.Position) Offer {
	if v.knowsNewer(e, asOf) {
		if e.removed {
			return Unchanged
		}
		v.noteDisagreement(e)
		return Older
	}
	e.asOf = e.asOf.Newest(asOf)
	if e.removed {
		return Unchanged
	}
	e.removed = true
	v.noteOwnReading(source, asOf)
	v.bumpRevision(e)
	return Updated
}

// KeepRunners removes all runners except those with the given ids, as of a reading of the
// store by a controller. It returns the runners that a later reading has found.
func (v *View) KeepRunners(ids map[string]bool, asOf drstore.Position) (newer []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.runners {
		newer = v.keep(e, ids, asOf, newer)
	}
	return newer
}

// KeepBucket is KeepRunners for the runners of a bucket.
func (v *View) KeepBucket(i int, ids map[string]bool, asOf drstore.Position) (newer []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.buckets[i].entries {
		newer = v.keep(e, ids, asOf, newer)
	}
	return newer
}

// keep removes the runner of an entry unless it is among ids. It appends one that a later
// reading has found to newer. The caller holds mu.
func (v *View) keep(e *entry, ids map[string]bool, asOf drstore.Position, newer []string) []string {
	if !ids[e.runner.ID] && v.remove(e, FromController, asOf) == Older {
		return append(newer, e.runner.ID)
	}
	return newer
}
