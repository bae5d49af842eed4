package drfleetview

import (
	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Incarnation is one incarnation of a runner; see drfleet.Runner.
type Incarnation struct {
	Runner  string
	Started int64
}

// IncarnationOf returns the incarnation that a description of a runner is of.
func IncarnationOf(r *drfleet.Runner) Incarnation { return Incarnation{r.ID, r.Started} }

// is reports whether an incarnation that may be unknown, nil, is this one.
func (i Incarnation) is(other *Incarnation) bool { return other != nil && *other == i }

// MarkLeaving records that an incarnation of a runner has said in an answer that it
// leaves. From then on it counts as draining here until it ends, whatever else
// describes it. MarkLeaving returns false if that was known, or if the runner is not
// known or of another incarnation.
func (v *View) MarkLeaving(i Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[i.Runner]
	if !ok || e.runner.Started != i.Started || e.saysLeaving() {
		return false
	}
	e.leaving = &i
	if !e.runner.Draining {
		e.runner = e.runner.WithDraining()
		v.bumpRevision(e)
	}
	return true
}

// saysLeaving reports whether the present incarnation has said that it leaves.
func (e *entry) saysLeaving() bool { return IncarnationOf(e.runner).is(e.leaving) }

// Leaving returns the incarnations that MarkLeaving has recorded and that are still
// listed, sorted by runner.
func (v *View) Leaving() []Incarnation {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []Incarnation
	for _, e := range v.listed("", (*entry).saysLeaving) {
		list = append(list, *e.leaving)
	}
	return list
}

// LeavingCount returns the number of listed runners of a service that have said in an
// answer to this VM that they leave.
func (v *View) LeavingCount(service string) int { return v.count(service, (*entry).saysLeaving) }

// EndAnnounced reports whether the end of a runner's incarnation was to be expected: it drains,
// has said that it leaves, or is not listed any longer.
func (v *View) EndAnnounced(i Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[i.Runner]
	return !ok || i.is(e.drains) || i.is(e.leaving) || e.removed && e.runner.Started == i.Started
}
