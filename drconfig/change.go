package drconfig

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drjson"
	"github.com/dotterelridge/dotterelridge/drpb"
)

const (
	// ChangeFormat is the only record format that this version applies. All VMs
	// must get the same result from a record, so a new field of an object needs a
	// new format, which authors may use only once every VM supports it.
	ChangeFormat = 1
	// maxChangeIDBytes limits the length of a change's ID, because the IDs of
	// recent changes are kept with their results.
	maxChangeIDBytes = 128
)

// Change is a set of puts and deletes of objects. It is applied atomically: either
// as a whole or not at all.
type Change struct {
	// ID identifies the change. A retry uses the same ID, so that the change
	// takes effect only once.
	ID string
	// BasedOn is the value of Fold.Offset when the author read the
	// configuration. The change is rejected if one of its objects has changed
	// since.
	BasedOn uint64
	Author  string
	Puts    Objects
	Deletes []Ref
}

// Encode returns the encoded change, to be appended to the config stream with
// drlog.AppendEntry. It panics if a string is not valid UTF-8.
func (c Change) Encode() []byte {
	message := &drpb.ConfigChange{ChangeId: c.ID, BasedOn: c.BasedOn, Author: c.Author, Format: ChangeFormat}
	for _, o := range c.Puts {
		r := o.Ref()
		message.Puts = append(message.Puts, &drpb.ConfigObject{Kind: string(r.Kind), Name: r.Name, Json: EncodeObject(o)})
	}
	for _, r := range c.Deletes {
		message.Deletes = append(message.Deletes, &drpb.ConfigRef{Kind: string(r.Kind), Name: r.Name})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // fails only for strings that are not UTF-8
	}
	return b
}

// decodeChange decodes a record. An error means that the record is not a change, so
// no Result is kept for it. Problems mean that the change is rejected and they go
// into its Result.
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

// refs returns the references of all objects that the change puts or deletes.
func (c Change) refs() []Ref {
	refs := make([]Ref, 0, len(c.Puts)+len(c.Deletes))
	for _, o := range c.Puts {
		refs = append(refs, o.Ref())
	}
	return append(refs, c.Deletes...)
}

// ApplyTo returns the configuration that results from applying the change to base,
// or base and the problems for which the change would be rejected. It ignores
// BasedOn. base itself is not modified.
func (c Change) ApplyTo(base Config) (Config, []drjson.Problem) {
	var problems []drjson.Problem
	report := func(format string, args ...any) {
		problems = append(problems, drjson.Problem{Reason: fmt.Sprintf(format, args...)})
	}
	seen := drcollection.Set[Ref]{}
	for _, r := range c.refs() {
		if seen.Has(r) {
			report("%s is put or deleted more than once", r)
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
