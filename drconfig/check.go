package drconfig

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// reservedPaths belong to the callers' API and cannot be route paths.
var reservedPaths = []string{"/v1"}

// namePattern keeps names usable in URLs, log lines and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// pathPattern admits whole segments; "." and ".." are refused separately.
var pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)

var methodPattern = regexp.MustCompile(`^[A-Z]+$`)

// refersTo lists, for each kind, the kinds whose changes can invalidate it.
var refersTo = map[Kind][]Kind{
	KindModel:   {KindFleet},
	KindAdapter: {KindModel},
	KindKey:     {KindAccount},
	KindRoute:   {KindFleet},
}

// finding is a fault of one object; field is the JSON name of the faulty
// member, or empty.
type finding struct {
	ref        Ref
	field      string
	reason     string
	suggestion string
}

// problem gives the finding the position of the object's declaration.
func (f finding) problem(declared map[Ref]drjson.Node) drjson.Problem {
	n := declared[f.ref]
	if f.field != "" {
		n = n.Find(f.field)
	}
	p := n.Problem("%s: %s", f.ref, f.reason)
	p.Suggestion = f.suggestion
	return p
}

// checker collects findings about a configuration.
type checker struct {
	c Config
	// touched limits the check to these objects and to the kinds that refer
	// to their kinds; nil checks everything.
	touched []Ref
	found   []finding
}

// Problems returns everything that is wrong with the configuration.
func (c Config) Problems() []drjson.Problem {
	return toProblems(check(c, nil), nil)
}

func toProblems(found []finding, declared map[Ref]drjson.Node) []drjson.Problem {
	var problems []drjson.Problem
	for _, f := range found {
		problems = append(problems, f.problem(declared))
	}
	return problems
}

// check validates the touched objects and all objects of kinds that refer to
// kinds of touched ones, or all objects if touched is nil. Checking and
// indexing all keys for each change took 20 ms at the target size. Findings
// are ordered, because all folders must agree on them.
func check(c Config, touched []Ref) []finding {
	k := &checker{c: c, touched: touched}
	each(k, KindFleet, c.fleets, k.fleet)
	each(k, KindModel, c.models, k.model)
	each(k, KindAdapter, c.adapters, k.adapter)
	each(k, KindAccount, c.accounts, k.account)
	each(k, KindKey, c.keys, k.key)
	if len(c.keyIDs) < len(c.keys) {
		duplicates(k, c.keys, "hash", func(o Key) string { return strings.ToLower(o.Hash) })
	}
	each(k, KindRoute, c.routes, k.route)
	if len(c.paths) < len(c.routes) {
		duplicates(k, c.routes, "path", func(o Route) string { return o.Path })
	}
	each(k, KindSelector, c.selectors, k.selector)
	if touched == nil || k.touches(KindAccount) || k.touches(KindSelector) {
		k.rates()
	}
	return k.found
}

func (k *checker) touches(kind Kind) bool {
	return slices.ContainsFunc(k.touched, func(r Ref) bool { return r.Kind == kind })
}

// each visits the objects of a kind that have to be checked, by name.
func each[V Object](k *checker, kind Kind, objects map[string]V, visit func(V)) {
	if k.touched == nil || slices.ContainsFunc(refersTo[kind], k.touches) {
		for _, o := range sorted(objects) {
			k.common(o)
			visit(o)
		}
		return
	}
	var touched []string
	for _, r := range k.touched {
		if r.Kind == kind {
			touched = append(touched, r.Name)
		}
	}
	slices.Sort(touched)
	for _, name := range touched {
		if o, ok := objects[name]; ok { // else it was deleted
			k.common(o)
			visit(o)
		}
	}
}

// common checks what all kinds have.
func (k *checker) common(o Object) {
	name, field := o.Ref().Name, "name"
	if o.Ref().Kind == KindKey {
		field = "id"
	}
	if !namePattern.MatchString(name) {
		k.add(o, field, "%s %q is not 1 to 128 letters, digits or . _ : -", field, name)
	}
	if _, ok := o.labels()[""]; ok {
		k.add(o, "labels", "a label has an empty name")
	}
}

// duplicates reports objects that share a value that must be unique.
func duplicates[V Object](k *checker, objects map[string]V, field string, valueOf func(V) string) {
	first := make(map[string]V, len(objects))
	for _, o := range sorted(objects) {
		if other, ok := first[valueOf(o)]; ok {
			k.add(o, field, "%s is already used by %s", field, other.Ref())
			continue
		}
		first[valueOf(o)] = o
	}
}

func (k *checker) add(o Object, field, format string, args ...any) {
	k.found = append(k.found, finding{ref: o.Ref(), field: field, reason: fmt.Sprintf(format, args...)})
}

// addUnknown reports a name that is not in known, which must be sorted to
// keep the suggestion deterministic.
func (k *checker) addUnknown(o Object, field, what, name string, known []string) {
	k.add(o, field, "%s %q does not exist", what, name)
	k.found[len(k.found)-1].suggestion = drjson.Closest(name, known)
}

func names[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// fleetOf checks that a fleet exists and has the kind.
func (k *checker) fleetOf(o Object, name string, want FleetKind) {
	f, ok := k.c.fleets[name]
	if !ok {
		k.addUnknown(o, "fleet", "fleet", name, names(k.c.fleets))
	} else if f.Kind != want {
		k.add(o, "fleet", "fleet %q has kind %q, want %q", name, f.Kind, want)
	}
}

func (k *checker) fleet(f Fleet) {
	if f.Kind != EngineFleet && f.Kind != ServiceFleet {
		k.add(f, "kind", "kind %q is neither %q nor %q", f.Kind, EngineFleet, ServiceFleet)
	}
	if f.ChecksFencing && f.Kind != EngineFleet {
		k.add(f, "checks-fencing", "only engines check fencing tokens")
	}
}

func (k *checker) model(m Model) {
	k.fleetOf(m, m.Fleet, EngineFleet)
	if m.Bytes <= 0 {
		k.add(m, "bytes", "bytes is %d, want more than 0", m.Bytes)
	}
	if m.DefaultMaxTokens <= 0 {
		k.add(m, "default-max-tokens", "default-max-tokens is %d, want more than 0", m.DefaultMaxTokens)
	}
	if m.MaxTokens < m.DefaultMaxTokens {
		k.add(m, "max-tokens", "max-tokens %d is below default-max-tokens %d", m.MaxTokens, m.DefaultMaxTokens)
	}
}

func (k *checker) adapter(a Adapter) {
	if _, ok := k.c.models[a.Base]; !ok {
		k.addUnknown(a, "base", "model", a.Base, names(k.c.models))
	}
	if _, ok := k.c.models[a.Name]; ok {
		k.add(a, "name", "a model has the same name, and callers address both as models")
	}
	if a.Bytes <= 0 {
		k.add(a, "bytes", "bytes is %d, want more than 0", a.Bytes)
	}
}

func (k *checker) account(a ClientAccount) {
	if a.Weight < 0 {
		k.add(a, "weight", "weight %d is negative", a.Weight)
	}
}

func (k *checker) key(o Key) {
	if _, ok := k.c.accounts[o.Account]; !ok {
		k.addUnknown(o, "account", "client account", o.Account, names(k.c.accounts))
	}
	if _, ok := o.hash(); !ok {
		k.add(o, "hash", "hash is not %d hex digits", 2*hashSize)
	}
}

func (k *checker) route(r Route) {
	k.fleetOf(r, r.Fleet, ServiceFleet)
	segments := strings.Split(r.Path, "/")
	if !pathPattern.MatchString(r.Path) || slices.Contains(segments, ".") || slices.Contains(segments, "..") {
		k.add(r, "path", "path %q is not one or more segments such as \"/bookings\"", r.Path)
	}
	for _, p := range reservedPaths {
		if r.Path == p || strings.HasPrefix(r.Path, p+"/") {
			k.add(r, "path", "path %q overlaps the reserved path %q", r.Path, p)
		}
	}
	for _, m := range r.RepeatableMethods {
		if !methodPattern.MatchString(m) {
			k.add(r, "repeatable-methods", "method %q is not upper-case letters", m)
		}
	}
	if r.Open && len(r.Accounts) > 0 {
		k.add(r, "accounts", "an open route cannot be limited to client accounts")
	}
	if r.Timeout < 0 {
		k.add(r, "timeout", "timeout %s is negative", r.Timeout)
	}
}

func (k *checker) selector(s Selector) {
	if s.Rate < 0 || s.Burst < 0 || (s.Rate > 0) != (s.Burst > 0) {
		k.add(s, "rate", "rate %g and burst %g must both be positive, or both 0 to state no limit", s.Rate, s.Burst)
	}
	if s.Replicas.Min < 0 || s.Replicas.Max < max(1, s.Replicas.Min) {
		k.add(s, "replicas", "replicas min %d, max %d: want 0 <= min <= max and max >= 1", s.Replicas.Min, s.Replicas.Max)
	}
	if s.Priority != "" && !s.Priority.Valid() {
		k.add(s, "priority", "unknown priority %q", s.Priority)
		k.found[len(k.found)-1].suggestion = drjson.Closest(string(s.Priority), []string{string(Interactive), string(Draft), string(Batch)})
	}
	if s.IdleTimeout < 0 {
		k.add(s, "idle-timeout", "idle-timeout %s is negative", s.IdleTimeout)
	}
}

// rates reports accounts for which selectors state different limits, once per
// pair of selectors, and accounts that selectors match without any limit.
func (k *checker) rates() {
	if k.c.view == nil {
		return
	}
	reported := map[[2]int32]bool{}
	for _, a := range sorted(k.c.accounts) {
		matched := k.c.view.accounts[a.Name]
		limit, ok := k.c.view.limits[a.Name]
		if !ok && len(matched) > 0 {
			k.add(a, "", "no selector that matches it states a rate")
		}
		first := int32(-1)
		for _, i := range matched {
			s := k.c.view.selectors[i]
			switch {
			case s.Rate <= 0:
			case first < 0:
				first = i
			case (Limit{s.Rate, s.Burst}) != limit && !reported[[2]int32{first, i}]:
				reported[[2]int32{first, i}] = true
				k.add(s, "rate", "rate %g and burst %g differ from rate %g and burst %g of %s, which also matches client account %q",
					s.Rate, s.Burst, limit.Rate, limit.Burst, k.c.view.selectors[first].Ref(), a.Name)
			}
		}
	}
}
