package drhttp

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrMalformed means that a head or a trailer is none by the grammar of RFC 9110 and RFC 9112,
// in which fasthttp takes more: names of fields that are no tokens, for one. What it frames the
// body by may then be lost.
var ErrMalformed = errors.New("malformed head or trailer")

// Errors of a head or a trailer. They do not quote it, as it may hold secrets.
var (
	errFieldName  = fmt.Errorf("%w: the name of a field is no token", ErrMalformed)
	errFieldValue = fmt.Errorf("%w: the value of a field holds a control byte", ErrMalformed)
	errFirstField = fmt.Errorf("%w: the first field is a continuation", ErrMalformed)
	errStatusLine = fmt.Errorf("%w: the status line is none", ErrMalformed)
	errHeadEnd    = fmt.Errorf("%w: the head does not end with two CRLF", ErrMalformed)
	errFraming    = fmt.Errorf("%w: Transfer-Encoding in a version other than HTTP/1.1", ErrMalformed)
)

// byteSet is a set of bytes.
type byteSet [256]bool

// tokenBytes are those of a token (RFC 9110, section 5.6.2), textBytes those of a field's value
// or a reason (tabs, blanks, visible characters and obs-text).
var (
	tokenBytes = newByteSet(func(c int) bool {
		return isDigit(byte(c)) || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0
	})
	textBytes = newByteSet(func(c int) bool { return c == '\t' || c >= ' ' && c != 0x7f })
)

func newByteSet(has func(c int) bool) *byteSet {
	var set byteSet
	for c := range set {
		set[c] = has(c)
	}
	return &set
}

// holds reports whether the set has all bytes of a text.
func (s *byteSet) holds(text []byte) bool {
	for _, c := range text {
		if !s[c] {
			return false
		}
	}
	return true
}

// fieldSection checks the lines of a head's or a trailer's fields, in order.
type fieldSection struct {
	// begun is set after the first line.
	begun bool
}

// check checks a line without its end. A line that begins with a blank continues the one
// before (obs-fold).
func (s *fieldSection) check(line []byte) error {
	value := line
	if line[0] == ' ' || line[0] == '\t' {
		if !s.begun {
			return errFirstField
		}
	} else {
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !tokenBytes.holds(line[:colon]) {
			return errFieldName
		}
		value = line[colon+1:]
	}
	s.begun = true
	if !textBytes.holds(value) {
		return errFieldValue
	}
	return nil
}

// Positions in a status line: where the version ends, and where the status starts and ends.
const (
	versionEnd  = len("HTTP/1.1")
	statusStart = versionEnd + 1
	statusEnd   = statusStart + 3
)

// checkStatusLine checks the first line of an answer. The blank before an empty reason may lack.
// Its error is ErrNoStatus if the number is in its place, but no status.
func checkStatusLine(line []byte) error {
	if len(line) < statusEnd || !isVersion(line[:versionEnd]) || line[versionEnd] != ' ' {
		return errStatusLine
	}
	for _, c := range line[statusStart:statusEnd] {
		if !isDigit(c) {
			return errStatusLine
		}
	}
	if reason := line[statusEnd:]; len(reason) > 0 && (reason[0] != ' ' || !textBytes.holds(reason)) {
		return errStatusLine
	}
	if first := line[statusStart]; first < '1' || first > '5' {
		return ErrNoStatus
	}
	return nil
}

// isVersion reports whether a text of eight bytes is a version such as HTTP/1.1.
func isVersion(text []byte) bool {
	return bytes.HasPrefix(text, []byte("HTTP/")) && isDigit(text[5]) && text[6] == '.' && isDigit(text[7])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
