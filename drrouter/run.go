package drrouter

import "context"

// Run is a request that is running on a backend server. Exactly one of
// Succeed, End and Crash must be called; further calls have no effect.
type Run struct {
	suspects    *Suspects
	fingerprint Fingerprint
	backend     string
	instance    string
	trialID     string // id of the claim of a suspect
	ended       bool
	crash       *crashEvent // set once the run was struck
}

// crashEvent is one crash of a backend server, shared by the runs it broke.
type crashEvent struct{ announced chan struct{} }

// Succeed ends the run and clears its request of suspicion.
func (r *Run) Succeed() { r.suspects.end(r, true) }

// End ends the run without any conclusion about its request.
func (r *Run) End() { r.suspects.end(r, false) }

// Crash ends the run because its backend server crashed. It strikes every
// request that was running there and returns once the other VMs know, after at
// most a second.
func (r *Run) Crash(ctx context.Context) { r.suspects.reportCrash(ctx, r) }
