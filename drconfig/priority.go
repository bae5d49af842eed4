package drconfig

import "slices"

// Priorities lists the classes, most urgent first.
var Priorities = []Priority{Interactive, Draft, Batch}

// Valid reports whether p is a known class.
func (p Priority) Valid() bool { return slices.Contains(Priorities, p) }

// AtMost returns p, or ceiling if p is more urgent. The empty class counts as
// Interactive.
func (p Priority) AtMost(ceiling Priority) Priority {
	return Priorities[max(p.rank(), ceiling.rank())]
}

// rank is 0 for the most urgent class.
func (p Priority) rank() int { return max(0, slices.Index(Priorities, p)) }
