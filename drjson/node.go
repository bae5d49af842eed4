package drjson

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"
)

// MaxDocument is the largest document in bytes. 10,000 keys take 2 MB.
const MaxDocument = 4 << 20

// document is a parsed source that its nodes share.
type document struct {
	file string
	src  []byte
}

// Node is a value in a document.
type Node struct {
	doc   *document
	value hujson.Value
}

var parseErrorPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// Parse parses src. The file name is used in problems only.
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

// Problem returns a problem at the node's position.
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

// Elements returns the elements of an array; any other value is returned as
// the only element.
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

// Member is a name and value in an object. Name is the node of the name.
type Member struct {
	Key   string
	Name  Node
	Value Node
}

// Members returns the members of an object, false for any other value.
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

// Find returns the value of the named member, or n itself if there is none.
func (n Node) Find(name string) Node {
	members, _ := n.Members()
	for _, m := range members {
		if m.Key == name {
			return m.Value
		}
	}
	return n
}

// kindName names the JSON type of the node.
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
