package drconfig

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// Kind is the type of a declared object.
type Kind string

// Kinds of objects, as written in declarations and in the config stream.
const (
	KindFleet    Kind = "fleet"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindAccount  Kind = "client-account"
	KindKey      Kind = "key"
	KindRoute    Kind = "route"
	KindSelector Kind = "selector"
)

// Kinds lists all kinds. Objects refer only to objects of kinds that come earlier in
// the list.
var Kinds = []Kind{KindFleet, KindModel, KindAdapter, KindAccount, KindKey, KindRoute, KindSelector}

// Object is a declared object: Fleet, Model, Adapter, ClientAccount, Key,
// Route or Selector.
type Object interface {
	// Ref returns the object's kind and name, which identify it.
	Ref() Ref
	labels() Labels
}

// Objects is a list of declared objects of any kinds.
type Objects []Object

// Ref implements Object.
func (f Fleet) Ref() Ref { return Ref{KindFleet, f.Name} }

// Ref implements Object.
func (m Model) Ref() Ref { return Ref{KindModel, m.Name} }

// Ref implements Object.
func (a Adapter) Ref() Ref { return Ref{KindAdapter, a.Name} }

// Ref implements Object.
func (a ClientAccount) Ref() Ref { return Ref{KindAccount, a.Name} }

// Ref implements Object.
func (k Key) Ref() Ref { return Ref{KindKey, k.ID} }

// Ref implements Object.
func (r Route) Ref() Ref { return Ref{KindRoute, r.Name} }

// Ref implements Object.
func (s Selector) Ref() Ref { return Ref{KindSelector, s.Name} }

func (f Fleet) labels() Labels         { return f.Labels }
func (m Model) labels() Labels         { return m.Labels }
func (a Adapter) labels() Labels       { return a.Labels }
func (a ClientAccount) labels() Labels { return a.Labels }
func (k Key) labels() Labels           { return k.Labels }
func (r Route) labels() Labels         { return r.Labels }
func (s Selector) labels() Labels      { return s.Labels }

// newObject returns a pointer to a zero object of the kind, or nil if the kind is
// unknown.
func newObject(kind Kind) any {
	switch kind {
	case KindFleet:
		return new(Fleet)
	case KindModel:
		return new(Model)
	case KindAdapter:
		return new(Adapter)
	case KindAccount:
		return new(ClientAccount)
	case KindKey:
		return new(Key)
	case KindRoute:
		return new(Route)
	case KindSelector:
		return new(Selector)
	}
	return nil
}

// decodeObject decodes an object of the kind strictly: unknown members, for example,
// are problems. The object is nil if the kind is unknown.
func decodeObject(kind Kind, node drjson.Node) (Object, []drjson.Problem) {
	target := newObject(kind)
	if target == nil {
		p := node.Problem("unknown kind %q", kind)
		names := make([]string, len(Kinds))
		for i, k := range Kinds {
			names[i] = string(k)
		}
		p.Suggestion = drjson.Closest(string(kind), names)
		return nil, []drjson.Problem{p}
	}
	problems := node.Decode(target)
	return reflect.ValueOf(target).Elem().Interface().(Object), problems
}

// EncodeObject returns the JSON of o, without the {"KIND": ...} around it.
func EncodeObject(o Object) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err) // objects hold only finite numbers and strings
	}
	return b
}

// Declaration returns o in the form used in declaration files, {"KIND": {...}},
// indented.
func Declaration(o Object) []byte {
	b, err := json.MarshalIndent(map[Kind]Object{o.Ref().Kind: o}, "", "  ")
	if err != nil {
		panic(err)
	}
	return b
}

// sortObjects sorts by kind, in the order of Kinds, then by name.
func sortObjects(objects Objects) {
	slices.SortFunc(objects, func(a, b Object) int { return a.Ref().Compare(b.Ref()) })
}
