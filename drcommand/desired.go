package drcommand

import (
	"context"
	"fmt"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drconfig"
)

// difference holds the changes that turn the configuration in force into the
// declared one.
type difference struct {
	offset  uint64          // of the configuration in force
	current drconfig.Config // the configuration in force
	puts    drconfig.Objects
	deletes []drconfig.Ref
}

// compareWithInForce loads the declarations from paths and compares them with the
// configuration in force at the entry VM that client calls. With prune, objects that
// are in force but not declared are deleted if their kind is declared at all.
func compareWithInForce(ctx context.Context, env environment, client *dradmin.Client, prune bool, paths []string) (difference, error) {
	inForce, err := client.Objects(ctx)
	if err != nil {
		return difference{}, err
	}
	d := difference{offset: inForce.Offset}
	var objects drconfig.Objects
	for _, o := range inForce.Objects {
		object, problems := drconfig.DecodeObject(drconfig.Ref{Kind: drconfig.Kind(o.Kind), Name: o.Name}, o.Object)
		if len(problems) > 0 {
			return d, fmt.Errorf("the entry VM sent an object that this version cannot read: %v", problems[0])
		}
		objects = append(objects, object)
	}
	d.current = drconfig.Config{}.With(objects...)
	desired, problems := drconfig.LoadOnto(d.current, paths...)
	if len(problems) > 0 {
		writeProblems(env, problems)
		return d, fmt.Errorf("%w: %d problems in the declarations", errRejected, len(problems))
	}
	d.puts, d.deletes = drconfig.Diff(d.current, desired, prune)
	return d, nil
}

// print writes one line per object to standard output, marked + if the object is
// new, ~ if it changes and - if it is deleted.
func (d difference) print(env environment) {
	for _, o := range d.puts {
		mark := "+"
		if _, ok := d.current.Object(o.Ref()); ok {
			mark = "~"
		}
		fmt.Fprintln(env.stdout, mark, o.Ref())
	}
	for _, r := range d.deletes {
		fmt.Fprintln(env.stdout, "-", r)
	}
	if len(d.puts)+len(d.deletes) == 0 {
		fmt.Fprintf(env.stdout, "no difference at offset %d\n", d.offset)
	}
}

// change returns the difference as a change request. BasedOn is the offset of the
// configuration that was compared.
func (d difference) change(id string) dradmin.Change {
	c := dradmin.Change{ID: id, BasedOn: d.offset}
	for _, o := range d.puts {
		r := o.Ref()
		c.Puts = append(c.Puts, dradmin.ObjectDocument{
			ObjectName: dradmin.ObjectName{Kind: string(r.Kind), Name: r.Name}, Object: drconfig.EncodeObject(o),
		})
	}
	for _, r := range d.deletes {
		c.Deletes = append(c.Deletes, dradmin.ObjectName{Kind: string(r.Kind), Name: r.Name})
	}
	return c
}
