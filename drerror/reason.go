package drerror

//go:generate stringer -type=Reason -linecomment

// Reason is the stable cause of a refusal. Its name is the suffix of the
// problem type that callers see.
type Reason int

// Reasons, in the order of their HTTP status.
const (
	Internal         Reason = iota // internal
	MalformedRequest               // malformed-request
	InvalidKey                     // invalid-key
	NotAllowed                     // not-allowed
	UnknownModel                   // unknown-model
	UnknownRoute                   // unknown-route
	KeyReused                      // key-reused
	CallInProgress                 // call-in-progress
	OutcomeUnknown                 // outcome-unknown
	KeyExpired                     // key-expired
	TooLarge                       // too-large
	CrashesBackend                 // crashes-backend
	OverRate                       // over-rate
	QueueFull                      // queue-full
	CallerGone                     // caller-gone
	BackendFailed                  // backend-failed
	NoCapacity                     // no-capacity
	LogUnavailable                 // log-unavailable
	Isolated                       // isolated
	Draining                       // draining
	Deadline                       // deadline
	Unavailable                    // unavailable
	Unimplemented                  // unimplemented
	Conflict                       // conflict
)

// ParseReason returns the reason with the given name, Internal if unknown.
func ParseReason(name string) Reason {
	for r := Internal; r <= Conflict; r++ {
		if r.String() == name {
			return r
		}
	}
	return Internal
}
