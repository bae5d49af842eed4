package drqueue

//go:generate stringer -type=Policy -linecomment

// Policy is the order of service.
type Policy int

// Policies.
const (
	// Fair is start-time fair queueing between accounts and priorities.
	Fair Policy = iota // fair
	// FirstCome serves in order of arrival. It is the baseline.
	FirstCome // first-come
)
