package drrouter

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Run is the execution of a request on a backend server. Each run must be ended
// by Succeed or End, also after Crash, which has no effect if the crash was
// counted before. Once a run has ended, further calls have no effect, except
// that Succeed still clears a strike which the run received.
type Run struct {
	suspects    *Suspects
	fingerprint drrequest.Fingerprint
	backend     string
	instance    string
	trialID     string // id of the trial; empty if the request was no suspect
	ended       bool
	crash       *crashEvent // set once the run received a strike
}

// crashEvent is one crash of a backend server, shared by all runs that it
// broke. announced is closed once the crash was broadcast.
type crashEvent struct{ announced chan struct{} }

// mayRunOn reports whether the request was sent to an instance of its backend server.
// Where this VM did not know the instance, it was the one that has crashed since.
func (r *Run) mayRunOn(instance string) bool { return r.instance == instance || r.instance == "" }

// Succeed ends the run and clears the strikes of its request.
func (r *Run) Succeed() { r.suspects.end(r, true) }

// End ends the run and leaves the strikes of its request as they are.
func (r *Run) End() { r.suspects.end(r, false) }

// Crash reports that the backend server crashed during the run. It gives a
// strike to every request that was running there, ends those runs, and returns
// once the other VMs know, after at most broadcastTimeout.
func (r *Run) Crash(ctx context.Context) { r.suspects.reportCrash(ctx, r) }
