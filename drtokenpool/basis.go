package drtokenpool

//go:generate stringer -type=Basis -linecomment

// Basis says on what tokens were admitted or refused.
type Basis int

// Bases of admissions.
const (
	ByNoLimit         Basis = iota // no-limit
	ByGrant                        // grant
	ByController                   // controller
	ByRepeatedRefusal              // repeated-refusal
	ByShare                        // share-without-controller
)
