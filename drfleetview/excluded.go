package drfleetview

import "time"

// Excluded is a listed runner of a service that takes no request for a replica now.
type Excluded struct {
	Runner string
	Zone   string
	// Why says it in a few words.
	Why string
	// PauseLeft is how long the runner wants no requests of this VM, 0 if that is not
	// the reason.
	PauseLeft time.Duration
}

// Excluded returns the listed runners of the replica's service that hold the replica but
// that Candidates leaves out, sorted by id.
func (v *View) Excluded(replica Replica) []Excluded {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, uptime := v.clock.Now(), v.clock.Uptime()
	var list []Excluded
	for _, e := range v.listed(replica.Service, func(e *entry) bool { return e.runner.Holds(replica.Model, replica.Adapter) }) {
		x := Excluded{Runner: e.runner.ID, Zone: e.runner.Zone, PauseLeft: e.pauseLeft(uptime)}
		u := e.counters[replica]
		switch {
		case !replica.Zones.Allow(e.runner.Zone):
			x.Why = "is outside the request's homes"
		case e.runner.Draining:
			x.Why = "drains"
		case x.PauseLeft > 0:
			x.Why = "asked for a pause"
		case u != nil && now.Before(u.missingUntil):
			x.Why = "answered that it lacks the model"
		case now.Before(e.unreachableUntil):
			x.Why = "took no connection"
		case v.closed(e.runner.Zone):
			x.Why = "its availability zone is out of service"
		case !v.freeOrPermitted(e, uptime) && e.limitRate() > 0:
			x.Why = "has named a limit, and this VM has no permit for it"
		case !v.freeOrPermitted(e, uptime):
			x.Why = "is cold, and this VM has no permit for it"
		default:
			continue
		}
		list = append(list, x)
	}
	return list
}
