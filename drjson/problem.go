// Package drjson decodes JSON with comments strictly: unknown, duplicate and
// mistyped members are all reported, each with its file, line and column.
package drjson

import (
	"cmp"
	"fmt"
)

// Problem is a fault in a document.
type Problem struct {
	File         string
	Line, Column int // both start at 1; 0 if the position is unknown
	Reason       string
	// Suggestion is the known name closest to an unknown one; may be empty.
	Suggestion string
}

// String returns "file:line:column: reason; did you mean ...?".
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

// Compare orders problems by file, line and column.
func (p Problem) Compare(other Problem) int {
	return cmp.Or(cmp.Compare(p.File, other.File), cmp.Compare(p.Line, other.Line), cmp.Compare(p.Column, other.Column))
}
