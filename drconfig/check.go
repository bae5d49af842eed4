package drconfig

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// reservedPaths are used by the callers' API. Route paths must not overlap them.
var reservedPaths = []string{"/v1"}

// namePattern limits names to what can be used unescaped in URLs, log lines and
// metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// pathPattern matches a path of one or more segments without a trailing slash. The
// segments "." and ".." are rejected separately.
var pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)

var methodPattern = regexp.MustCompile(`^[A-Z]+$`)

// referencedKinds lists, for each kind, the kinds that its objects refer to. A change
// of an object of those kinds can make them invalid.
var referencedKinds = map[Kind][]Kind{
	KindModel:   {KindFleet},
	KindAdapter: {KindModel},
	KindKey:     {KindAccount},
	KindRoute:   {KindFleet},
}

// finding is an error in one object. field is the JSON name of the invalid member,
// or empty if the error concerns the whole object.
type finding struct {
	ref        Ref
	field      string
	reason     string
	suggestion string
}

// problem converts the finding to a Problem with the position of the object's
// declaration, as far as declarations has it.
func (f finding) problem(declarations map[Ref]drjson.Node) drjson.Problem {
	node := declarations[f.ref]
	if f.field != "" {
		node = node.Find(f.field)
	}
	p := node.Problem("%s: %s", f.ref, f.reason)
	p.Suggestion = f.suggestion
	return p
}

// checker validates a configuration and collects the findings.
type checker struct {
	config Config
	// changed limits validation to these objects and to all objects of the
	// kinds that refer to their kinds; nil means to validate everything.
	changed  []Ref
	findings []finding
}

// Problems validates the whole configuration and returns everything that is wrong
// with it, or nil. The problems have no file positions.
func (c Config) Problems() []drjson.Problem {
	return toProblems(check(c, nil), nil)
}

func toProblems(findings []finding, declarations map[Ref]drjson.Node) []drjson.Problem {
	var problems []drjson.Problem
	for _, f := range findings {
		problems = append(problems, f.problem(declarations))
	}
	return problems
}

// check validates the changed objects and all objects of kinds that refer to the
// changed objects' kinds, or all objects if changed is nil. It avoids checking
// everything, because checking and indexing all keys for each change took 20 ms at
// the target size. The order of the findings is deterministic, because all VMs must
// keep the same result for a change.
func check(config Config, changed []Ref) []finding {
	k := &checker{config: config, changed: changed}
	checkKind(k, KindFleet, config.fleets, k.checkFleet)
	checkKind(k, KindModel, config.models, k.checkModel)
	checkKind(k, KindAdapter, config.adapters, k.checkAdapter)
	checkKind(k, KindAccount, config.accounts, k.checkAccount)
	checkKind(k, KindKey, config.keys, k.checkKey)
	if len(config.keyIDByHash) < len(config.keys) {
		reportDuplicates(k, config.keys, "hash", func(o Key) string { return strings.ToLower(o.Hash) })
	}
	checkKind(k, KindRoute, config.routes, k.checkRoute)
	if len(config.routeByPath) < len(config.routes) {
		reportDuplicates(k, config.routes, "path", func(o Route) string { return o.Path })
	}
	checkKind(k, KindSelector, config.selectors, k.checkSelector)
	if changed == nil || k.hasChanged(KindAccount) || k.hasChanged(KindSelector) {
		k.checkLimits()
	}
	return k.findings
}

// hasChanged reports whether an object of the kind was changed.
func (k *checker) hasChanged(kind Kind) bool {
	return slices.ContainsFunc(k.changed, func(r Ref) bool { return r.Kind == kind })
}

// checkKind validates the objects of a kind that need it, in order of name, with
// checkCommon and checkObject, which has the checks specific to the kind.
func checkKind[V Object](k *checker, kind Kind, objects map[string]V, checkObject func(V)) {
	if k.changed == nil || slices.ContainsFunc(referencedKinds[kind], k.hasChanged) {
		for _, o := range sortedValues(objects) {
			k.checkCommon(o)
			checkObject(o)
		}
		return
	}
	var changedNames []string
	for _, r := range k.changed {
		if r.Kind == kind {
			changedNames = append(changedNames, r.Name)
		}
	}
	slices.Sort(changedNames)
	for _, name := range changedNames {
		if o, ok := objects[name]; ok { // otherwise the object was deleted
			k.checkCommon(o)
			checkObject(o)
		}
	}
}

// checkCommon checks the name and the labels of an object of any kind.
func (k *checker) checkCommon(o Object) {
	name, field := o.Ref().Name, "name"
	if o.Ref().Kind == KindKey {
		field = "id"
	}
	if !namePattern.MatchString(name) {
		k.report(o, field, "%s %q is not 1 to 128 letters, digits or . _ : -", field, name)
	}
	if _, ok := o.labels()[""]; ok {
		k.report(o, "labels", "a label has an empty name")
	}
}

// reportDuplicates reports each object whose value equals that of an object earlier
// in the order of names.
func reportDuplicates[V Object](k *checker, objects map[string]V, field string, valueOf func(V) string) {
	first := make(map[string]V, len(objects))
	for _, o := range sortedValues(objects) {
		if other, ok := first[valueOf(o)]; ok {
			k.report(o, field, "%s is already used by %s", field, other.Ref())
			continue
		}
		first[valueOf(o)] = o
	}
}

func (k *checker) report(o Object, field, format string, args ...any) {
	k.findings = append(k.findings, finding{ref: o.Ref(), field: field, reason: fmt.Sprintf(format, args...)})
}

// reportUnknown reports a reference to a name that does not exist and suggests the
// closest one in known, which must be sorted to keep the suggestion deterministic.
func (k *checker) reportUnknown(o Object, field, kind, name string, known []string) {
	k.report(o, field, "%s %q does not exist", kind, name)
	k.findings[len(k.findings)-1].suggestion = drjson.Closest(name, known)
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkFleetRef checks that the fleet that an object refers to exists and has the
// wanted kind.
func (k *checker) checkFleetRef(o Object, name string, want FleetKind) {
	f, ok := k.config.fleets[name]
	if !ok {
		k.reportUnknown(o, "fleet", "fleet", name, sortedNames(k.config.fleets))
	} else if f.Kind != want {
		k.report(o, "fleet", "fleet %q has kind %q, want %q", name, f.Kind, want)
	}
}

func (k *checker) checkFleet(f Fleet) {
	if f.Kind != EngineFleet && f.Kind != ServiceFleet {
		k.report(f, "kind", "kind %q is neither %q nor %q", f.Kind, EngineFleet, ServiceFleet)
	}
	if f.ChecksFencing && f.Kind != EngineFleet {
		k.report(f, "checks-fencing", "only engines check fencing tokens")
	}
}

func (k *checker) checkModel(m Model) {
	k.checkFleetRef(m, m.Fleet, EngineFleet)
	if m.Bytes <= 0 {
		k.report(m, "bytes", "bytes is %d, want more than 0", m.Bytes)
	}
	if m.DefaultMaxTokens <= 0 {
		k.report(m, "default-max-tokens", "default-max-tokens is %d, want more than 0", m.DefaultMaxTokens)
	}
	if m.MaxTokens < m.DefaultMaxTokens {
		k.report(m, "max-tokens", "max-tokens %d is below default-max-tokens %d", m.MaxTokens, m.DefaultMaxTokens)
	}
}

func (k *checker) checkAdapter(a Adapter) {
	if _, ok := k.config.models[a.Base]; !ok {
		k.reportUnknown(a, "base", "model", a.Base, sortedNames(k.config.models))
	}
	if _, ok := k.config.models[a.Name]; ok {
		k.report(a, "name", "a model has the same name, and callers address both as models")
	}
	if a.Bytes <= 0 {
		k.report(a, "bytes", "bytes is %d, want more than 0", a.Bytes)
	}
}

func (k *checker) checkAccount(a ClientAccount) {
	if a.Weight < 0 {
		k.report(a, "weight", "weight %d is negative", a.Weight)
	}
}

func (k *checker) checkKey(o Key) {
	if _, ok := k.config.accounts[o.Account]; !ok {
		k.reportUnknown(o, "account", "client account", o.Account, sortedNames(k.config.accounts))
	}
	if _, ok := o.hash(); !ok {
		k.report(o, "hash", "hash is not %d hex digits", 2*hashSize)
	}
}

func (k *checker) checkRoute(r Route) {
	k.checkFleetRef(r, r.Fleet, ServiceFleet)
	segments := strings.Split(r.Path, "/")
	if !pathPattern.MatchString(r.Path) || slices.Contains(segments, ".") || slices.Contains(segments, "..") {
		k.report(r, "path", "path %q is not one or more segments such as \"/bookings\"", r.Path)
	}
	for _, p := range reservedPaths {
		if r.Path == p || strings.HasPrefix(r.Path, p+"/") {
			k.report(r, "path", "path %q overlaps the reserved path %q", r.Path, p)
		}
	}
	for _, m := range r.RepeatableMethods {
		if !methodPattern.MatchString(m) {
			k.report(r, "repeatable-methods", "method %q is not upper-case letters", m)
		}
	}
	if r.Open && len(r.Accounts) > 0 {
		k.report(r, "accounts", "an open route cannot be limited to client accounts")
	}
	if r.Timeout < 0 {
		k.report(r, "timeout", "timeout %s is negative", r.Timeout)
	}
}

func (k *checker) checkSelector(s Selector) {
	if s.Rate < 0 || s.Burst < 0 || (s.Rate > 0) != (s.Burst > 0) {
		k.report(s, "rate", "rate %g and burst %g must both be positive, or both 0 to state no limit", s.Rate, s.Burst)
	}
	if s.Replicas.Min < 0 || s.Replicas.Max < max(1, s.Replicas.Min) {
		k.report(s, "replicas", "replicas min %d, max %d: want 0 <= min <= max and max >= 1", s.Replicas.Min, s.Replicas.Max)
	}
	if s.Priority != "" && !s.Priority.Valid() {
		k.report(s, "priority", "unknown priority %q", s.Priority)
		k.findings[len(k.findings)-1].suggestion = drjson.Closest(string(s.Priority), []string{string(Interactive), string(Draft), string(Batch)})
	}
	if s.IdleTimeout < 0 {
		k.report(s, "idle-timeout", "idle-timeout %s is negative", s.IdleTimeout)
	}
}

// checkLimits reports accounts that selectors match but for which none of them states
// a rate, and selectors that state different limits for the same account. Each pair of
// selectors is reported only once, with the first such account.
func (k *checker) checkLimits() {
	if k.config.index == nil {
		return
	}
	reported := map[[2]int32]bool{}
	for _, a := range sortedValues(k.config.accounts) {
		matching := k.config.index.byAccount[a.Name]
		limit, ok := k.config.index.limits[a.Name]
		if !ok && len(matching) > 0 {
			k.report(a, "", "no selector that matches it states a rate")
		}
		first := int32(-1)
		for _, i := range matching {
			s := k.config.index.selectors[i]
			switch {
			case s.Rate <= 0:
			case first < 0:
				first = i
			case (Limit{s.Rate, s.Burst}) != limit && !reported[[2]int32{first, i}]:
				reported[[2]int32{first, i}] = true
				k.report(s, "rate", "rate %g and burst %g differ from rate %g and burst %g of %s, which also matches client account %q",
					s.Rate, s.Burst, limit.Rate, limit.Burst, k.config.index.selectors[first].Ref(), a.Name)
			}
		}
	}
}
