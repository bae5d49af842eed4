package drrouter

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// NoticeKind says what a Notice reports.
type NoticeKind int

// Kinds of notices about suspects; see Suspects.
const (
	// Strike reports the crash of a backend server and the requests that were
	// running on it.
	Strike NoticeKind = iota // strike
	// Clear reports that a suspect succeeded, so its strikes are void.
	Clear // clear
	// Trial claims a suspect and a server for a trial.
	Trial // trial
	// TrialEnd releases the claim of a trial that ended without success.
	TrialEnd // trial-end
)

// Notice is a message about suspects from one entry VM to the others. Applying
// the same notice twice has no further effect.
type Notice struct {
	Kind NoticeKind
	// ID is unique per crash for a Strike and per trial for the other kinds. It
	// is empty for the Clear of a request that was not on trial.
	ID string
	// VM is the name of the sender.
	VM string
	// Backend is the address of the server that crashed, or on which the trial
	// runs.
	Backend string
	// Instance identifies the process of the server that crashed; empty if
	// unknown.
	Instance string
	// Fingerprints are the requests that the notice is about. Blocked are those
	// of them that are refused from now on.
	Fingerprints []drrequest.Fingerprint
	Blocked      []drrequest.Fingerprint
}

// Broadcaster sends notices to the other entry VMs.
type Broadcaster interface {
	// Broadcast returns when all live VMs have acknowledged the notice or ctx
	// ends. It also appends a Strike to the replicated log, without waiting for
	// the result.
	Broadcast(ctx context.Context, notice Notice) error
}
