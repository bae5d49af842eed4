package drstore

import "cmp"

// Position says how much of a topic a reading takes into account: all records before Next,
// an offset, in an era of the store. The zero value is that of no reading.
type Position struct {
	// Era is higher after each time that the store has lost its newest records. Offsets of
	// two eras say nothing about each other.
	Era  uint64
	Next int64
	// Read tells a reading of an empty topic from no reading.
	Read bool
}

// After returns the position of a reading that takes a record into account.
func After(era uint64, offset int64) Position { return Position{era, offset + 1, true} }

// Known reports whether there is a reading.
func (p Position) Known() bool { return p != Position{} }

// Before reports whether a reading is older than another one.
func (p Position) Before(other Position) bool { return p.compare(other) < 0 }

// Newest returns the later of two positions.
func (p Position) Newest(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

func (p Position) compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Next, other.Next))
}
