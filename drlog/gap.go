package drlog

import "fmt"

// GapError says that records were removed by retention before they were read.
type GapError struct {
	Stream string
	// From is the offset that was asked for, First the lowest retained one.
	From, First, Next uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %q: offset %d is below the first retained offset %d", e.Stream, e.From, e.First)
}
