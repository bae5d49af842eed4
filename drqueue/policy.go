package drqueue

//go:generate stringer -type=Policy -linecomment

// Policy is the order in which a queue serves its items.
type Policy int

// Policies of a queue.
const (
	// Fair is start-time fair queueing between the accounts and their
	// priorities.
	Fair Policy = iota // fair
	// FirstCome serves items in order of arrival. It is the baseline that Fair
	// is compared with in measurements.
	FirstCome // first-come
)
