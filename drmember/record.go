package drmember

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// memberRecord is what is known of an entry VM.
type memberRecord struct {
	Member
	// refutation orders the observations of one incarnation.
	refutation uint32
	// stateSince is when the state was entered.
	stateSince time.Time
	// listed tells whether the newest list shows the VM, everListed whether
	// any did, listLeaving whether it shows it as leaving.
	listed, everListed, listLeaving bool
	// missedLastPoll tells whether the previous successful poll did not show the VM,
	// absent how long successful polls in a row have not.
	missedLastPoll bool
	absentFor      time.Duration
	// sends counts the messages that carried the current observation,
	// lastSend numbers the last of them.
	sends            int
	lastSendSequence uint64
}

// state returns the state at time now.
func (r *memberRecord) state(now time.Time) State {
	switch {
	case r.State == Suspect && now.Sub(r.stateSince) >= suspectTimeout:
		return Unreachable
	case r.listLeaving && r.State != Unreachable:
		return Leaving
	default:
		return r.State
	}
}

// supersedes reports whether o carries less recent knowledge than r. Of two
// observations of the same incarnation and refutation, the graver one wins,
// since only the VM itself may take a suspicion back.
func (r *memberRecord) supersedes(observation *drpb.MemberObservation) bool {
	switch {
	case observation.GetIncarnation() != r.Incarnation:
		return observation.GetIncarnation() < r.Incarnation
	case observation.GetRefutation() != r.refutation:
		return observation.GetRefutation() < r.refutation
	default:
		return State(observation.GetState()) <= r.State
	}
}

// observation returns the record as sent to peers at time now. It has zone and
// address if full is set or the list does not show the VM.
func (r *memberRecord) observation(now time.Time, withAddress bool) *drpb.MemberObservation {
	state := r.State
	if state == Suspect {
		state = r.state(now)
	}
	observation := &drpb.MemberObservation{
		Vm: r.VM, Incarnation: r.Incarnation, Refutation: r.refutation, State: uint32(state),
	}
	if withAddress || !r.listed {
		observation.Zone, observation.Address = r.Zone, r.Address
	}
	return observation
}
