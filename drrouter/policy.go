package drrouter

//go:generate stringer -type=Policy,NoticeKind -linecomment

// Policy is the order in which a Router tries the runners that have a model
// loaded.
type Policy int

// Policies for choosing a runner.
const (
	// ByScore tries the runner with the shortest expected delay first.
	ByScore Policy = iota // by-score
	// Random is the baseline that ByScore is compared with in measurements.
	Random // random
)
