// Package drerror defines the error type of the system. Every error that
// concerns a request carries a verdict: whether the request may have run.
package drerror

//go:generate stringer -type=Verdict -linecomment

// Verdict says whether a request has been executed by a backend server.
type Verdict int

// Verdicts, ordered by how much may have happened.
const (
	NotRun     Verdict = iota // not-run
	MayHaveRun                // may-have-run
	Ran                       // ran
)

// ParseVerdict returns the verdict with the given name. Unknown names give
// MayHaveRun, the only answer that is never wrong.
func ParseVerdict(name string) Verdict {
	for v := NotRun; v <= Ran; v++ {
		if v.String() == name {
			return v
		}
	}
	return MayHaveRun
}
