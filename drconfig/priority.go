package drconfig

import "slices"

// Priorities lists all priority classes, most urgent first.
var Priorities = []Priority{Interactive, Draft, Batch}

// Valid reports whether p is one of Priorities. The empty class is not.
func (p Priority) Valid() bool { return slices.Contains(Priorities, p) }

// AtMost returns the less urgent of p and ceiling. The empty class counts as
// Interactive.
func (p Priority) AtMost(ceiling Priority) Priority {
	return Priorities[max(p.rank(), ceiling.rank())]
}

// rank returns the index of p in Priorities: 0 is the most urgent class. Unknown
// classes have rank 0 too.
func (p Priority) rank() int { return max(0, slices.Index(Priorities, p)) }
