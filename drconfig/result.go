package drconfig

// Result is the outcome of a change.
type Result struct {
	// Offset is the offset of the change's first record; retries come later.
	Offset   uint64
	Accepted bool
	// Problems lists the reasons why the change was rejected; empty if accepted.
	Problems []string
}
