package dridempotency

import "github.com/dotterelridge/dotterelridge/drerror"

// Outcome is the result of a call that was sent to a backend.
type Outcome struct {
	Verdict drerror.Verdict
	// Answer is returned to callers that repeat the request. It is used only
	// with verdict Ran. If it is nil, the response is not available, and such
	// callers get an error with reason OutcomeUnknown.
	Answer *Answer
}
