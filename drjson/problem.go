// Package drjson decodes JSON with comments. It rejects unknown and repeated
// members and values of the wrong type, and reports all of them at once, each
// with its file, line and column.
package drjson

import (
	"cmp"
	"fmt"
)

// Problem is a fault in a document, reported to whoever wrote it.
type Problem struct {
	File string // "" if unknown
	// Line and Column start at 1 and are 0 if the position is unknown. Column
	// counts bytes.
	Line, Column int
	Reason       string
	// Suggestion is the known name that resembles an unknown one most, or ""
	// if none resembles it.
	Suggestion string
}

// String returns "file:line:column: reason; did you mean ...?", without the
// parts that are unknown.
func (p Problem) String() string {
	s := p.Reason
	if p.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", p.Suggestion)
	}
	if p.Line > 0 {
		s = fmt.Sprintf("%d:%d: %s", p.Line, p.Column, s)
	}
	if p.File == "" {
		return s
	}
	if p.Line > 0 {
		return p.File + ":" + s
	}
	return p.File + ": " + s
}

// Compare orders problems by file, line and column, as slices.SortFunc needs it.
func (p Problem) Compare(other Problem) int {
	return cmp.Or(cmp.Compare(p.File, other.File), cmp.Compare(p.Line, other.Line), cmp.Compare(p.Column, other.Column))
}
