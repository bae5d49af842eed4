package drjson

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"
)

// MaxDocument is the largest size of a document in bytes. A document with 10,000
// keys takes 2 MB.
const MaxDocument = 4 << 20

// document is the source text of a document. All its nodes share it, to compute
// the positions of problems.
type document struct {
	file string
	src  []byte
}

// Node is a value or a member name in a document. The zero Node has no position.
type Node struct {
	doc   *document
	value hujson.Value
}

// parseErrorPattern splits an error message of hujson into line, column and
// reason.
var parseErrorPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// Parse parses JSON with comments and trailing commas. It returns the root node,
// or the one problem that made it stop. file is used in problems only. The nodes
// refer to src, which must not change afterwards.
func Parse(file string, src []byte) (Node, []Problem) {
	if len(src) > MaxDocument {
		return Node{}, []Problem{{File: file, Reason: fmt.Sprintf("document has %d bytes, more than %d", len(src), MaxDocument)}}
	}
	if offset := findTooDeep(src); offset >= 0 {
		n := Node{doc: &document{file: file, src: src}, value: hujson.Value{StartOffset: offset}}
		return Node{}, []Problem{n.Problem("nested more than %d levels deep", maxNestingDepth)}
	}
	v, err := hujson.Parse(src)
	if err != nil {
		problem := Problem{File: file, Reason: err.Error()}
		if match := parseErrorPattern.FindStringSubmatch(err.Error()); match != nil {
			problem.Line, _ = strconv.Atoi(match[1])
			problem.Column, _ = strconv.Atoi(match[2])
			problem.Reason = match[3]
		}
		return Node{}, []Problem{problem}
	}
	return Node{doc: &document{file: file, src: src}, value: v}, nil
}

// Problem returns a problem at the node's position. format and args give its
// reason.
func (n Node) Problem(format string, args ...any) Problem {
	p := Problem{Reason: fmt.Sprintf(format, args...)}
	if n.doc == nil {
		return p
	}
	before := n.doc.src[:min(n.value.StartOffset, len(n.doc.src))]
	p.File = n.doc.file
	p.Line = bytes.Count(before, []byte("\n")) + 1
	p.Column = len(before) - bytes.LastIndexByte(before, '\n')
	return p
}

// Elements returns the elements of an array. For any other value, it returns the
// node itself as the only element.
func (n Node) Elements() []Node {
	a, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return []Node{n}
	}
	nodes := make([]Node, len(a.Elements))
	for i, e := range a.Elements {
		nodes[i] = Node{n.doc, e}
	}
	return nodes
}

// Member is a name and a value in an object.
type Member struct {
	// Key is the text of the name.
	Key string
	// Name is the node of the name, which gives its position.
	Name  Node
	Value Node
}

// Members returns the members of an object in the order of the document, with
// repeated names. It returns false for any other value.
func (n Node) Members() ([]Member, bool) {
	o, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return nil, false
	}
	members := make([]Member, len(o.Members))
	for i, m := range o.Members {
		members[i] = Member{m.Name.Value.(hujson.Literal).String(), Node{n.doc, m.Name}, Node{n.doc, m.Value}}
	}
	return members, true
}

// Find returns the value of the first member called name. If there is none, it
// returns n itself, so that a problem can be reported at the enclosing object.
func (n Node) Find(name string) Node {
	members, _ := n.Members()
	for _, m := range members {
		if m.Key == name {
			return m.Value
		}
	}
	return n
}

// kindName returns the JSON type of the node for use in messages, with its text
// if it is a number or a boolean.
func (n Node) kindName() string {
	switch v := n.value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		switch v.Kind() {
		case '"':
			return "a string"
		case '0':
			return "number " + string(v)
		case 't', 'f':
			return string(v)
		}
	}
	return "null"
}
