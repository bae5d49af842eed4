package drconfig

// Result is what became of a change.
type Result struct {
	// Offset is the position of the change's first record.
	Offset   uint64
	Accepted bool
	// Problems say why the change was rejected.
	Problems []string
}
