package drmember

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// record is what is known of an entry VM.
type record struct {
	Member
	// refutation orders the observations of one incarnation.
	refutation uint32
	// since is when the state was entered.
	since time.Time
	// listed tells whether the newest list shows the VM, everListed whether
	// any did, listLeaving whether it shows it as leaving.
	listed, everListed, listLeaving bool
	// missing tells whether the previous successful poll did not show the VM,
	// absent how long successful polls in a row have not.
	missing bool
	absent  time.Duration
	// sends counts the messages that carried the current observation,
	// lastSend numbers the last of them.
	sends    int
	lastSend uint64
}

// state returns the state at time now.
func (r *record) state(now time.Time) State {
	switch {
	case r.State == Suspect && now.Sub(r.since) >= suspectTime:
		return Unreachable
	case r.listLeaving && r.State != Unreachable:
		return Leaving
	default:
		return r.State
	}
}

// older reports whether o carries less recent knowledge than r. Of two
// observations of the same incarnation and refutation, the graver one wins,
// since only the VM itself may take a suspicion back.
func (r *record) older(o *drpb.MemberObservation) bool {
	switch {
	case o.GetIncarnation() != r.Incarnation:
		return o.GetIncarnation() < r.Incarnation
	case o.GetRefutation() != r.refutation:
		return o.GetRefutation() < r.refutation
	default:
		return State(o.GetState()) <= r.State
	}
}

// observation returns the record as sent to peers at time now. It has zone and
// address if full is set or the list does not show the VM.
func (r *record) observation(now time.Time, full bool) *drpb.MemberObservation {
	s := r.State
	if s == Suspect {
		s = r.state(now)
	}
	o := &drpb.MemberObservation{
		Vm: r.VM, Incarnation: r.Incarnation, Refutation: r.refutation, State: uint32(s),
	}
	if full || !r.listed {
		o.Zone, o.Address = r.Zone, r.Address
	}
	return o
}
