package drlog

import "fmt"

// GapError reports that the requested offset is no longer available, because
// retention removed the records below First.
type GapError struct {
	Stream string
	// From is the requested offset, First the lowest retained one and Next the
	// one that the next append will get.
	From, First, Next uint64
}

// Error returns a message with the stream, the requested and the first retained
// offset.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %q: offset %d is below the first retained offset %d", e.Stream, e.From, e.First)
}
