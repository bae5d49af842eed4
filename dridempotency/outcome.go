package dridempotency

import "github.com/dotterelridge/dotterelridge/drerror"

// Outcome is the result of a dispatched call.
type Outcome struct {
	Verdict drerror.Verdict
	// Answer is what resends get; only with verdict Ran.
	Answer *Answer
}
