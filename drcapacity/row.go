package drcapacity

import "fmt"

// Row is the cost of one role of an entry VM at target size.
type Row struct {
	Role, State string
	// Messages and Bytes are per second, CPU is in percent of a core, Memory
	// in bytes.
	Messages, Bytes, CPU, Memory float64
	// Error is the standard error of CPU from the fitted lines, in percent of a
	// core.
	Error float64
	// Formula and Mechanism say how the cost arises, Remedy what would meet
	// the bounds.
	Formula, Mechanism, Remedy string
}

// unmetBounds returns the text of the "bound" column: the bounds of a whole node
// that this row alone exceeds, each with the factor, or "met".
func (r Row) unmetBounds() string {
	text := ""
	for _, b := range []struct {
		name         string
		value, bound float64
	}{{"processor", r.CPU, boundCPU}, {"memory", r.Memory, boundMemory}, {"bytes", r.Bytes, boundBytes}} {
		if b.value > b.bound {
			text += fmt.Sprintf(" %s ×%.3g", b.name, b.value/b.bound)
		}
	}
	if text == "" {
		return "met"
	}
	return "**not met:**" + text
}
