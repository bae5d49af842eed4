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

// referencedKinds lists, for each kind, the kinds whose changes can invalidate it.
var referencedKinds = map[Kind][]Kind{
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
func (f finding) problem(declarations map[Ref]drjson.Node) drjson.Problem {
	node := declarations[f.ref]
	if f.field != "" {
		node = node.Find(f.field)
	}
	p := node.Problem("%s: %s", f.ref, f.reason)
	p.Suggestion = f.suggestion
	return p
}

// checker collects findings about a configuration.
type checker struct {
	config Config
	// changed limits the check to these objects and to the kinds that refer
	// to their kinds; nil checks everything.
	changed  []Ref
	findings []finding
}

// Problems returns everything that is wrong with the configuration.
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

// check validates the touched objects and all objects of kinds that refer to
// kinds of touched ones, or all objects if touched is nil. Checking and
// indexing all keys for each change took 20 ms at the target size. Findings
// are ordered, because all folders must agree on them.
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

func (k *checker) hasChanged(kind Kind) bool {
	return slices.ContainsFunc(k.changed, func(r Ref) bool { return r.Kind == kind })
}

// checkKind visits the objects of a kind that have to be checked, by name.
func checkKind[V Object](k *checker, kind Kind, objects map[string]V, visit func(V)) {
	if k.changed == nil || slices.ContainsFunc(referencedKinds[kind], k.hasChanged) {
		for _, o := range sortedValues(objects) {
			k.checkCommon(o)
			visit(o)
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
		if o, ok := objects[name]; ok { // else it was deleted
			k.checkCommon(o)
			visit(o)
		}
	}
}

// checkCommon checks what all kinds have.
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

// reportDuplicates reports objects that share a value that must be unique.
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

// reportUnknown reports a name that is not in known, which must be sorted to
// keep the suggestion deterministic.
func (k *checker) reportUnknown(o Object, field, kind, name string, known []string) {
	k.report(o, field, "%s %q does not exist", kind, name)
	k.findings[len(k.findings)-1].suggestion = drjson.Closest(name, known)
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkFleetRef checks that a fleet exists and has the kind.
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

// checkLimits reports accounts for which selectors state different limits, once per
// pair of selectors, and accounts that selectors match without any limit.
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
