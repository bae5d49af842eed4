package dridempotency

import "github.com/dotterelridge/dotterelridge/drerror"

// Outcome is the result of a call that was sent to a backend.
type Outcome struct {
	Verdict drerror.Verdict
	// Answer is returned to callers that repeat the request. It is used only
	// with verdict Ran; nil means that the response is not available, which such
	// callers are told.
	Answer *Answer
}
