package drconfig

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drjson"
	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// ChangeFormat is the newest record format that this version folds. All
	// readers must fold a record alike, so a new field of an object needs a
	// new format, which authors may use once every VM supports it.
	ChangeFormat = 1
	// maxChangeIDBytes bounds the results that are kept, in bytes each.
	maxChangeIDBytes = 128
)

// Change is a set of puts and deletes that takes effect as a whole or not at
// all.
type Change struct {
	// ID is unique per change; a retry repeats it.
	ID string
	// BasedOn is the Fold's Offset that the author saw.
	BasedOn uint64
	Author  string
	Puts    Objects
	Deletes []Ref
}

// Encode returns the record for the config stream.
func (change Change) Encode() []byte {
	message := &drpb.ConfigChange{ChangeId: change.ID, BasedOn: change.BasedOn, Author: change.Author, Format: ChangeFormat}
	for _, o := range change.Puts {
		r := o.Ref()
		message.Puts = append(message.Puts, &drpb.ConfigObject{Kind: string(r.Kind), Name: r.Name, Json: EncodeObject(o)})
	}
	for _, r := range change.Deletes {
		message.Deletes = append(message.Deletes, &drpb.ConfigRef{Kind: string(r.Kind), Name: r.Name})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // fails only for strings that are not UTF-8
	}
	return b
}

// decodeChange decodes a record. An error means that the record is no change
// at all and has no result; problems mean that the change is rejected.
func decodeChange(data []byte) (Change, []drjson.Problem, error) {
	message := new(drpb.ConfigChange)
	if err := proto.Unmarshal(data, message); err != nil {
		return Change{}, nil, fmt.Errorf("decode configuration change: %w", err)
	}
	change := Change{ID: message.ChangeId, BasedOn: message.BasedOn, Author: message.Author}
	if change.ID == "" || len(change.ID) > maxChangeIDBytes {
		return Change{}, nil, fmt.Errorf("decode configuration change: the id has %d bytes, want 1 to %d", len(change.ID), maxChangeIDBytes)
	}
	if message.Format != ChangeFormat {
		return change, []drjson.Problem{{Reason: fmt.Sprintf("unsupported format %d, want %d", message.Format, ChangeFormat)}}, nil
	}
	var problems []drjson.Problem
	for _, put := range message.Puts {
		name := put.Kind + " " + put.Name
		node, found := drjson.Parse(name, put.Json)
		if found != nil {
			problems = append(problems, found...)
			continue
		}
		object, found := decodeObject(Kind(put.Kind), node)
		problems = append(problems, found...)
		if object == nil {
			continue
		}
		if object.Ref().Name != put.Name {
			problems = append(problems, node.Problem("the object is named %q", object.Ref().Name))
		}
		change.Puts = append(change.Puts, object)
	}
	for _, deleted := range message.Deletes {
		change.Deletes = append(change.Deletes, Ref{Kind(deleted.Kind), deleted.Name})
	}
	return change, problems, nil
}

// refs returns every object that the change touches.
func (c Change) refs() []Ref {
	refs := make([]Ref, 0, len(c.Puts)+len(c.Deletes))
	for _, o := range c.Puts {
		refs = append(refs, o.Ref())
	}
	return append(refs, c.Deletes...)
}

// ApplyTo returns the configuration that the change makes out of base, or the
// problems for which it would be rejected. It ignores BasedOn.
func (c Change) ApplyTo(base Config) (Config, []drjson.Problem) {
	var problems []drjson.Problem
	report := func(format string, args ...any) {
		problems = append(problems, drjson.Problem{Reason: fmt.Sprintf(format, args...)})
	}
	seen := drcollection.Set[Ref]{}
	for _, r := range c.refs() {
		if seen.Has(r) {
			report("%s is touched twice", r)
		}
		seen.Add(r)
	}
	for _, r := range c.Deletes {
		if _, ok := base.Object(r); !ok {
			report("%s does not exist and cannot be deleted", r)
		}
	}
	if len(seen) == 0 {
		report("the change is empty")
	}
	if problems != nil {
		return base, problems
	}
	next := base.modify(c.Puts, c.Deletes)
	if found := check(next, c.refs()); found != nil {
		return base, toProblems(found, nil)
	}
	return next, nil
}
