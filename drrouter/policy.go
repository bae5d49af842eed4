package drrouter

//go:generate stringer -type=Policy,NoticeKind -linecomment

// Policy is a way to choose among runners.
type Policy int

// Policies. Random is the baseline that ByScore is measured against.
const (
	ByScore Policy = iota // by-score
	Random                // random
)
