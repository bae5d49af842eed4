package drconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/dotterelridge/dotterelridge/drcollection"
)

// Config is an immutable configuration, safe for concurrent use. The zero Config is
// empty. Configs that were derived from one another share the parts that are equal,
// so copies are cheap.
type Config struct {
	offset uint64
	// The maps of objects are keyed by name, or by ID for keys. Once a map is in a
	// Config it is never written to, only replaced by a modified copy.
	fleets    map[string]Fleet
	models    map[string]Model
	adapters  map[string]Adapter
	accounts  map[string]ClientAccount
	keys      map[string]Key
	routes    map[string]Route
	selectors map[string]Selector
	// keyIDByHash maps the decoded hash of a key to its ID, and routeByPath the
	// path of a route to its name.
	keyIDByHash map[[hashSize]byte]string
	routeByPath map[string]string
	index       *selectorIndex
}

// Offset returns the stream offset of the last accepted change, 0 if none.
func (c Config) Offset() uint64 { return c.offset }

// WithOffset returns a copy whose Offset is the given one.
func (c Config) WithOffset(offset uint64) Config {
	c.offset = offset
	return c
}

// With returns a copy in which the given objects are added, or replace those with the
// same Ref. It does not validate the result; call Problems for that.
func (c Config) With(objects ...Object) Config { return c.modify(objects, nil) }

// Without returns a copy without the given objects. Those that do not exist are
// ignored. It does not validate the result.
func (c Config) Without(refs ...Ref) Config { return c.modify(nil, refs) }

// modify returns a copy with deletes removed and then puts added or replaced, and
// with its indexes brought up to date.
func (c Config) modify(puts []Object, deletes []Ref) Config {
	cloned := drcollection.Set[Kind]{}
	for _, r := range deletes {
		c = c.cloneKind(cloned, r.Kind)
		c.remove(r)
	}
	for _, o := range puts {
		c = c.cloneKind(cloned, o.Ref().Kind)
		c.put(o)
	}
	if cloned.Has(KindRoute) {
		c.routeByPath = make(map[string]string, len(c.routes))
		for _, r := range c.routes {
			c.routeByPath[r.Path] = r.Name
		}
	}
	for _, k := range []Kind{KindModel, KindAdapter, KindAccount, KindSelector} {
		if cloned.Has(k) {
			c.index = newSelectorIndex(c)
			break
		}
	}
	return c
}

// cloneKind returns c with a writable copy of the kind's maps, unless the kind is in
// cloned already. It adds the kind to cloned.
func (c Config) cloneKind(cloned drcollection.Set[Kind], kind Kind) Config {
	if cloned.Has(kind) {
		return c
	}
	cloned.Add(kind)
	switch kind {
	case KindFleet:
		c.fleets = clone(c.fleets)
	case KindModel:
		c.models = clone(c.models)
	case KindAdapter:
		c.adapters = clone(c.adapters)
	case KindAccount:
		c.accounts = clone(c.accounts)
	case KindKey:
		c.keys = clone(c.keys)
		if c.keyIDByHash = maps.Clone(c.keyIDByHash); c.keyIDByHash == nil {
			c.keyIDByHash = map[[hashSize]byte]string{}
		}
	case KindRoute:
		c.routes = clone(c.routes)
	case KindSelector:
		c.selectors = clone(c.selectors)
	}
	return c
}

// clone is like maps.Clone but returns an empty map, which can be written to, for a
// nil one.
func clone[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// put adds or replaces an object. The maps of its kind must have been copied by
// cloneKind, because put writes to them.
func (c Config) put(o Object) {
	switch o := o.(type) {
	case Fleet:
		c.fleets[o.Name] = o
	case Model:
		c.models[o.Name] = o
	case Adapter:
		c.adapters[o.Name] = o
	case ClientAccount:
		c.accounts[o.Name] = o
	case Key:
		c.remove(o.Ref())
		c.keys[o.ID] = o
		if h, ok := o.hash(); ok {
			c.keyIDByHash[h] = o.ID
		}
	case Route:
		c.routes[o.Name] = o
	case Selector:
		c.selectors[o.Name] = o
	}
}

// remove deletes an object if it exists. The maps of its kind must have been copied
// by cloneKind, because remove writes to them.
func (c Config) remove(r Ref) {
	switch r.Kind {
	case KindFleet:
		delete(c.fleets, r.Name)
	case KindModel:
		delete(c.models, r.Name)
	case KindAdapter:
		delete(c.adapters, r.Name)
	case KindAccount:
		delete(c.accounts, r.Name)
	case KindKey:
		if h, ok := c.keys[r.Name].hash(); ok && c.keyIDByHash[h] == r.Name {
			delete(c.keyIDByHash, h)
		}
		delete(c.keys, r.Name)
	case KindRoute:
		delete(c.routes, r.Name)
	case KindSelector:
		delete(c.selectors, r.Name)
	}
}

// Object returns the object of any kind with the reference, false if there is none.
func (c Config) Object(r Ref) (Object, bool) {
	switch r.Kind {
	case KindFleet:
		return lookup[Fleet](c.fleets, r.Name)
	case KindModel:
		return lookup[Model](c.models, r.Name)
	case KindAdapter:
		return lookup[Adapter](c.adapters, r.Name)
	case KindAccount:
		return lookup[ClientAccount](c.accounts, r.Name)
	case KindKey:
		return lookup[Key](c.keys, r.Name)
	case KindRoute:
		return lookup[Route](c.routes, r.Name)
	case KindSelector:
		return lookup[Selector](c.selectors, r.Name)
	}
	return nil, false
}

func lookup[V Object](m map[string]V, name string) (Object, bool) {
	v, ok := m[name]
	if !ok {
		return nil, false
	}
	return v, true
}

// Objects returns all objects, ordered by kind as in Kinds, then by name.
func (c Config) Objects() Objects {
	var all Objects
	all = appendSorted(all, c.fleets)
	all = appendSorted(all, c.models)
	all = appendSorted(all, c.adapters)
	all = appendSorted(all, c.accounts)
	all = appendSorted(all, c.keys)
	all = appendSorted(all, c.routes)
	return appendSorted(all, c.selectors)
}

func appendSorted[V Object](all Objects, m map[string]V) Objects {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[name])
	}
	return all
}

// sortedValues returns the values of m in order of their keys.
func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}

// Fleet returns the fleet with the name, false if there is none.
func (c Config) Fleet(name string) (Fleet, bool) {
	f, ok := c.fleets[name]
	return f, ok
}

// Model returns the model with the name, false if there is none.
func (c Config) Model(name string) (Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Adapter returns the adapter with the name, false if there is none.
func (c Config) Adapter(name string) (Adapter, bool) {
	a, ok := c.adapters[name]
	return a, ok
}

// Account returns the client account with the name, false if there is none.
func (c Config) Account(name string) (ClientAccount, bool) {
	a, ok := c.accounts[name]
	return a, ok
}

// Key returns the key with the ID, false if there is none.
func (c Config) Key(id string) (Key, bool) {
	k, ok := c.keys[id]
	return k, ok
}

// Selector returns the selector with the name, false if there is none.
func (c Config) Selector(name string) (Selector, bool) {
	s, ok := c.selectors[name]
	return s, ok
}

// Route returns the route with the longest path that is a prefix of path in
// whole segments: "/bookings" serves "/bookings/7" but not "/bookings2". path must
// not contain "." and ".." segments.
func (c Config) Route(path string) (Route, bool) {
	for path != "" {
		if name, ok := c.routeByPath[path]; ok {
			return c.routes[name], true
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
	return Route{}, false
}

// Fleets returns all fleets in order of name.
func (c Config) Fleets() []Fleet { return sortedValues(c.fleets) }

// Models returns all models in order of name.
func (c Config) Models() []Model { return sortedValues(c.models) }

// Adapters returns all adapters in order of name.
func (c Config) Adapters() []Adapter { return sortedValues(c.adapters) }

// Accounts returns all client accounts in order of name.
func (c Config) Accounts() []ClientAccount { return sortedValues(c.accounts) }

// Keys returns all keys in order of ID.
func (c Config) Keys() []Key { return sortedValues(c.keys) }

// Routes returns all routes in order of name.
func (c Config) Routes() []Route { return sortedValues(c.routes) }

// Selectors returns all selectors in order of name.
func (c Config) Selectors() []Selector { return sortedValues(c.selectors) }
