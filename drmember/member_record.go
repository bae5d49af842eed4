package drmember

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// memberRecord is what this process knows of an entry VM. Member.State is the
// last state that was set; the method state also considers time and the list.
type memberRecord struct {
	Member
	// refutation orders the observations of one incarnation. The VM itself
	// increases it to refute a suspicion.
	refutation uint32
	// stateSince is when the state was last set or confirmed.
	stateSince time.Time
	// listed tells whether the newest list shows the VM, everListed whether
	// any list did, and listLeaving whether the last list that showed the VM
	// showed it as leaving.
	listed, everListed, listLeaving bool
	// missedLastPoll tells whether the last successful poll did not show the
	// VM, and absentFor for how long successive successful polls have not. Each
	// contact with the VM resets both.
	missedLastPoll bool
	absentFor      time.Duration
	// sends counts the messages that carried the current observation, and
	// lastSendSequence is Membership.sendSequence at the last of them.
	sends            int
	lastSendSequence uint64
}

// state returns the state at time now. A suspect is unreachable after
// suspectTimeout even before expireSuspects has run, and a VM that the list shows
// as leaving is leaving unless it is unreachable.
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

// supersedes reports whether r is at least as recent as observation, which is
// ignored then. The higher incarnation wins, then the higher refutation, then the
// worse state (alive, suspect, unreachable, leaving), since only the VM itself may
// refute a suspicion.
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

// observation returns the record as it is sent to peers at time now. It has zone
// and address if withAddress is set or the list does not show the VM.
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
