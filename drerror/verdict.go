// Package drerror defines the error type of the system. Every error that ends a request
// has a verdict, which says whether a backend server may have executed the request, and
// so whether resending it is safe.
package drerror

//go:generate stringer -type=Verdict -linecomment

// Verdict says whether a backend server has executed a request.
type Verdict int

// Verdicts, from a request that certainly was not executed to one that certainly was.
const (
	NotRun     Verdict = iota // not-run
	MayHaveRun                // may-have-run
	Ran                       // ran
)

// ParseVerdict returns the verdict with the given name. For an unknown name it returns
// MayHaveRun, the only verdict that is correct in every case.
func ParseVerdict(name string) Verdict {
	for v := NotRun; v <= Ran; v++ {
		if v.String() == name {
			return v
		}
	}
	return MayHaveRun
}
