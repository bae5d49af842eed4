package dronce

import "github.com/dotterelridge/dotterelridge/drverdict"

// Outcome is the result of a dispatched call.
type Outcome struct {
	Verdict drverdict.Verdict
	// Answer is what resends get; only with verdict Ran.
	Answer *Answer
}
