package drcapacity

import (
	"fmt"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drlog"
)

// configSize is the number of objects of each kind. Each account has one
// selector.
type configSize struct{ models, adapters, accounts, keys int }

const configFleet = "llm"

var configSecret = []byte("capacity-measurement-secret")

// configObjects returns declarations of the given size. A selector matches one
// in ten models for one account.
func configObjects(size configSize) drconfig.Objects {
	objects := drconfig.Objects{drconfig.Fleet{Name: configFleet, Kind: drconfig.EngineFleet}}
	for i := range size.models {
		objects = append(objects, drconfig.Model{
			Name: fmt.Sprint("m", i), Labels: drconfig.Labels{"group": fmt.Sprint(i % 10)}, Fleet: configFleet,
			Bytes: 8 << 30, DefaultMaxTokens: 256, MaxTokens: 1024,
		})
	}
	for i := range size.adapters {
		objects = append(objects, drconfig.Adapter{
			Name: fmt.Sprint("m", i%size.models, "-", i), Labels: drconfig.Labels{"kind": "x"}, Base: fmt.Sprint("m", i%size.models), Bytes: 1 << 20,
		})
	}
	for i := range size.accounts {
		objects = append(objects,
			drconfig.ClientAccount{Name: fmt.Sprint("a", i), Labels: drconfig.Labels{"name": fmt.Sprint(i)}},
			drconfig.Selector{
				Name: fmt.Sprint("s", i), Models: drconfig.Labels{"group": fmt.Sprint(i % 10)}, Accounts: drconfig.Labels{"name": fmt.Sprint(i)},
				Rate: 100, Burst: 100, Replicas: drconfig.Range{Max: 2},
			})
	}
	for i := range size.keys {
		objects = append(objects, drconfig.Key{
			ID: fmt.Sprint("k", i), Account: fmt.Sprint("a", i%size.accounts), Hash: drconfig.HashKey(configSecret, fmt.Sprint(i)),
		})
	}
	return objects
}

func newConfigFold(size configSize) (*drconfig.Fold, error) {
	f := drconfig.NewFold()
	f.Apply(drlog.Record{Offset: 1, Data: drconfig.Change{ID: "base", Puts: configObjects(size)}.Encode()})
	if r, ok := f.Result("base"); !ok || !r.Accepted {
		return nil, fmt.Errorf("declarations of the measurement were rejected: %v", r.Problems)
	}
	return f, nil
}

// config measures the fold of the configuration. It varies the number of objects
// of one kind at a time and keeps the other kinds at the base size.
func (b *bench) config() error {
	base := configSize{models: 60, adapters: 60, accounts: 20, keys: 100}
	for _, v := range []struct {
		name  string
		sizes []int
		set   func(*configSize, int)
	}{
		{"models", []int{60, 120, 240}, func(size *configSize, n int) { size.models = n }},
		{"adapters", []int{200, 800, 3100}, func(size *configSize, n int) { size.adapters = n }},
		{"accounts", []int{20, 80, 320}, func(size *configSize, n int) { size.accounts = n }},
		{"keys", []int{500, 2000, 8000}, func(size *configSize, n int) { size.keys = n }},
	} {
		for _, n := range v.sizes {
			s := base
			v.set(&s, n)
			if err := b.configOfSize(v.name, float64(n), s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *bench) configOfSize(variable string, n float64, size configSize) error {
	f, err := newConfigFold(size)
	if err != nil {
		return err
	}
	i := 0
	apply := func() error {
		i++
		o := f.Offset() + 1
		k := drconfig.Key{ID: "new", Account: "a1", Hash: drconfig.HashKey(configSecret, fmt.Sprint("new", i))}
		f.Apply(drlog.Record{Offset: o, Data: drconfig.Change{ID: fmt.Sprint(i), BasedOn: o - 1, Puts: drconfig.Objects{k}}.Encode()})
		return nil
	}
	if err := b.cpu("config-change-by-"+variable, "", variable, n, apply); err != nil {
		return err
	}
	selector := func() error {
		i++
		o := f.Offset() + 1
		x := drconfig.Selector{
			Name: "s1", Models: drconfig.Labels{"group": fmt.Sprint(i % 10)}, Accounts: drconfig.Labels{"name": "1"},
			Rate: 100, Burst: 100, Replicas: drconfig.Range{Max: 2},
		}
		f.Apply(drlog.Record{Offset: o, Data: drconfig.Change{ID: fmt.Sprint(i), BasedOn: o - 1, Puts: drconfig.Objects{x}}.Encode()})
		return nil
	}
	if err := b.cpu("selector-change-by-"+variable, "", variable, n, selector); err != nil {
		return err
	}
	if err := b.cpu("config-snapshot-by-"+variable, "", variable, n, func() error { f.Snapshot(); return nil }); err != nil {
		return err
	}
	b.addSample("config-snapshot-bytes-by-"+variable, "B", variable, n, float64(len(f.Snapshot())))
	b.memory("config-memory-by-"+variable, variable, n, func() any { x, _ := newConfigFold(size); return x })
	return b.cpu("config-review-by-"+variable, "", variable, n, func() error {
		c := f.Current()
		for _, m := range c.Models() {
			c.Replicas(m.Name)
		}
		return nil
	})
}
