package drrouter

import "context"

// NoticeKind says what a Notice reports.
type NoticeKind int

// Kinds of notices.
const (
	Strike   NoticeKind = iota // strike
	Clear                      // clear
	Trial                      // trial
	TrialEnd                   // trial-end
)

// Notice is what VMs tell each other about suspects. Applying one twice has
// no further effect.
type Notice struct {
	Kind NoticeKind
	// ID is unique per crash for Strike and per claim for the other kinds;
	// it is empty for a Clear without a claim.
	ID string
	// VM is the sender.
	VM string
	// Backend is the address of the crashed server, or of the server on which
	// a trial runs.
	Backend string
	// Instance is that of the server which crashed, empty if unknown.
	Instance string
	// Fingerprints are the requests concerned; Blocked is the subset that is
	// to be refused from now on.
	Fingerprints []Fingerprint
	Blocked      []Fingerprint
}

// Broadcaster passes notices to the other VMs.
type Broadcaster interface {
	// Broadcast returns when all live VMs have acknowledged n or ctx ends. It
	// also appends a Strike to the log without waiting for the result.
	Broadcast(ctx context.Context, notice Notice) error
}
