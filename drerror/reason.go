package drerror

//go:generate stringer -type=Reason -linecomment

// Reason is the cause of a refusal, from a fixed set. Its name is the suffix of the
// problem type that callers see and must not change.
type Reason int

// Reasons of refusals. Those from MalformedRequest to Deadline are in the order of the
// HTTP status that callers see. For Internal, Unavailable, Unimplemented and
// Conflict the gateway reports another reason to callers.
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

// ParseReason returns the reason with the given name, or Internal if there is none.
func ParseReason(name string) Reason {
	for r := Internal; r <= Conflict; r++ {
		if r.String() == name {
			return r
		}
	}
	return Internal
}
