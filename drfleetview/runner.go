package drfleetview

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drstore"
)

const (
	// missingReplicaBackoff is how long a runner gets no requests for a replica
	// after it answered that it does not hold it, unless its entry changes.
	missingReplicaBackoff = 500 * time.Millisecond
	// unreachableBackoff is how long a runner that took no connection is avoided
	// while others are left.
	unreachableBackoff = time.Second
	// failureWeight is the weight of the latest request in the moving average of
	// failures.
	failureWeight = 0.15
	// failureHalfLife is the time in which that average halves without requests.
	failureHalfLife = 3 * time.Second
)

// entry is what this VM knows of one runner. Entries of removed runners stay in
// the table, so that late descriptions of them can be recognized.
type entry struct {
	runner *drfleet.Runner
	// replicasFromController is set if runner.Replicas came from the controller.
	// The runner's own descriptions do not replace them then, because they may
	// have been written before the last order was carried out.
	replicasFromController bool
	// reportedReplicas are those of the runner's own last description, also if
	// runner.Replicas differ.
	reportedReplicas []drfleet.Replica
	revision         uint64 // of the table when the entry last changed
	// identityRevision is the revision at which the incarnation was listed or last
	// changed its service, address, zone or slots.
	identityRevision uint64
	digest           uint64 // what the entry adds to the digest of its bucket
	// changedRevision is the revision at which the digest last changed.
	changedRevision uint64
	removed         bool
	// asOf is the newest reading of the store that says whether the runner is listed, unless
	// the whole table is known as of a later one.
	asOf drstore.Position

	counters         map[Replica]*replicaCounters
	running          int
	runningElsewhere int // requests of other VMs, as the controller last reported
	// tokens are those of this VM's requests, as in the last report reportedTokens,
	// and tokensElsewhere those of other VMs, as the controller last reported.
	tokens, reportedTokens, tokensElsewhere Tokens
	// succeeded and failed count the requests of this VM since the process
	// started.
	succeeded, failed uint64
	failureShare      float64
	failureShareAt    time.Time
	fleetFailureShare float64
	unreachableUntil  time.Time
	// leaving is the incarnation that has said in an answer that it leaves, nil if
	// none has.
	leaving *Incarnation
	// drains is the last incarnation that has begun to drain, nil if none has.
	drains *Incarnation
	pause  pause
	limit  limit
	// coldUntil is the uptime until which the runner is cold.
	coldUntil time.Duration
}

// replicaCounters counts the requests of this VM for one replica on one runner.
type replicaCounters struct {
	running      int
	requests     uint64
	missingUntil time.Time
	// lastReported is what Uses last returned for the replica.
	lastReported ReplicaUse
}

// Source says who wrote a description of a runner.
type Source int

// Sources of descriptions. A runner's own description may be older than the
// latest orders to it; the controller's include the outcome of its orders.
const (
	FromRunner     Source = iota // runner
	FromController               // controller
)

// OfferRunner updates a runner's entry from a description, unless the
// description is older than the entry. It reports whether anything changed that
// matters to requests. The caller must not change runner afterwards.
func (v *View) OfferRunner(runner *drfleet.Runner, source Source) bool {
	return v.OfferRunnerAsOf(runner, source, drstore.Position{}).Changed()
}

// OfferRunnerAsOf is OfferRunner for a description as of a reading of the store. It does not
// list a runner that a later reading has not found. Without a reading it may.
func (v *View) OfferRunnerAsOf(runner *drfleet.Runner, source Source, asOf drstore.Position) Offer {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, known := v.runners[runner.ID]
	listed := known && !e.removed
	if !listed && v.knowsNewer(e, asOf) {
		v.noteDisagreement(e)
		return Older
	}
	changed := v.offer(runner, source)
	e = v.runners[runner.ID]
	if !e.removed {
		e.asOf = e.asOf.Newest(asOf)
	}
	switch {
	case !changed:
		return Unchanged
	case listed:
		return Updated
	}
	v.noteOwnReading(source, asOf)
	return Listed
}

// UpdateRunner replaces the description of a runner by what update makes of it,
// as the controller's description. No other change can happen in between. It
// returns false, without calling update, if the runner is not listed or is not
// of the incarnation that started then.
func (v *View) UpdateRunner(id string, started int64, update func(drfleet.Runner) drfleet.Runner) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || e.removed || e.runner.Started != started {
		return false
	}
	updated := update(*e.runner)
	v.offer(&updated, FromController)
	return true
}

// offer is OfferRunner. The caller holds mu.
func (v *View) offer(runner *drfleet.Runner, source Source) bool {
	e, ok := v.runners[runner.ID]
	if !ok {
		e = v.addEntry(runner)
	} else if !e.acceptsUpdate(runner, source) {
		return false
	}
	turnedCold := v.noteCold(e, runner, v.clock.Uptime())
	runner = runner.WithoutCold()
	if source == FromRunner {
		e.reportedReplicas = runner.Replicas
	}
	if IncarnationOf(runner).is(e.leaving) && !runner.Draining {
		runner = runner.WithDraining()
	}
	old := e.runner
	same := runner.Started == old.Started && !e.removed
	if same {
		runner = mergeDescriptions(e, runner, source)
	}
	e.runner = runner
	e.replicasFromController = source == FromController || same && e.replicasFromController
	if same && !turnedCold && sameForCallers(old, runner) {
		return false
	}
	e.removed = false
	v.bounded.note(e, v.clock.Uptime())
	for _, u := range e.counters {
		u.missingUntil = time.Time{}
	}
	v.bumpRevision(e)
	if (turnedCold || runner.Orders > old.Orders) && e.changedRevision != e.revision {
		v.logChange(e) // cold for longer, or VMs that know later orders refused the entry
	}
	if !same || !sameIdentity(old, runner) {
		e.identityRevision = e.revision
	}
	return true
}

// addEntry adds an entry for a runner that is not listed yet. The caller holds mu.
func (v *View) addEntry(runner *drfleet.Runner) *entry {
	e := &entry{runner: runner, removed: true, counters: make(map[Replica]*replicaCounters)}
	v.runners[runner.ID] = e
	b := &v.buckets[BucketOf(runner.ID)]
	b.entries = append(b.entries, e)
	return e
}

// sameIdentity reports whether two descriptions of one incarnation agree in what
// seldom changes.
func sameIdentity(a, b *drfleet.Runner) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Version == b.Version
}

// acceptsUpdate reports whether a description is new enough to update the entry:
// it is of a later incarnation, or of the same one and not older by the number
// of orders (from the controller) or of the description (from the runner). While
// the runner is removed, its own description must be newer.
func (e *entry) acceptsUpdate(update *drfleet.Runner, source Source) bool {
	switch {
	case update.Started != e.runner.Started:
		return update.Started > e.runner.Started
	case source == FromController:
		return update.Orders >= e.runner.Orders
	case e.removed:
		return update.Beat > e.runner.Beat
	default:
		return update.Beat >= e.runner.Beat
	}
}

// mergeDescriptions combines an entry's description with a new one of the same
// incarnation. A draining runner stays draining, and the runner's own
// description does not undo the outcome of an order.
func mergeDescriptions(e *entry, update *drfleet.Runner, source Source) *drfleet.Runner {
	merged, old := *update, e.runner
	merged.Draining = merged.Draining || old.Draining
	merged.Beat = max(merged.Beat, old.Beat)
	if source == FromRunner && e.replicasFromController {
		merged.Replicas, merged.Orders = old.Replicas, old.Orders
	}
	if merged.OnDisk == nil && merged.InMemory == nil {
		merged.OnDisk, merged.InMemory = old.OnDisk, old.InMemory
	}
	return &merged
}

// Contradicted reports whether the runner's own last description names other
// models than the controller's. It is false while one of the two is missing.
func (v *View) Contradicted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || !e.replicasFromController || e.reportedReplicas == nil || len(e.reportedReplicas) != len(e.runner.Replicas) {
		return ok && e.replicasFromController && e.reportedReplicas != nil
	}
	for _, p := range e.reportedReplicas {
		if _, holds := e.runner.Replica(p.Model); !holds {
			return true
		}
	}
	return false
}

// sameForCallers reports whether two descriptions of one incarnation mean the
// same for requests and placement. A new Beat alone is no difference.
func sameForCallers(a, b *drfleet.Runner) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Draining == b.Draining && a.Orders == b.Orders &&
		a.Slots == b.Slots && a.Version == b.Version && slices.Equal(a.OnDisk, b.OnDisk) && slices.Equal(a.InMemory, b.InMemory) &&
		slices.EqualFunc(a.Replicas, b.Replicas, func(x, y drfleet.Replica) bool {
			return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
		})
}

// bumpRevision marks an entry as changed by giving it the next revision of the
// table, and wakes waiting requests. The caller holds mu.
func (v *View) bumpRevision(e *entry) {
	v.revision++
	e.revision = v.revision
	v.buckets[BucketOf(e.runner.ID)].version++
	if v.updateDigest(e) {
		v.logChange(e)
	}
	v.noteDraining(e)
	v.noteVersions(e.runner.Service)
	v.notify()
}

// Runners returns the listed runners of a service, sorted by id. An empty
// service selects the runners of all services.
func (v *View) Runners(service string) []*drfleet.Runner {
	v.mu.Lock()
	defer v.mu.Unlock()
	var rs []*drfleet.Runner
	for _, e := range v.listed(service, func(*entry) bool { return true }) {
		rs = append(rs, e.runner)
	}
	return rs
}

// RunnerCount returns the number of listed runners.
func (v *View) RunnerCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, e := range v.runners {
		if !e.removed {
			n++
		}
	}
	return n
}

// listed returns the listed runners of a service that have a property, sorted by id. An
// empty service selects those of all services. The caller holds mu.
func (v *View) listed(service string, has func(e *entry) bool) []*entry {
	var list []*entry
	for _, e := range v.runners {
		if !e.removed && (service == "" || e.runner.Service == service) && has(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.runner.ID, b.runner.ID) })
	return list
}

// Runner returns the runner with an id, and false if it is not listed.
func (v *View) Runner(id string) (*drfleet.Runner, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.runners[id]
	if !ok || e.removed {
		return nil, false
	}
	return e.runner, true
}

// Revision returns the revision of the runner table, which grows with each
// change.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Holds reports whether any listed runner that is not draining holds a replica.
func (v *View) Holds(replica Replica) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.runners {
		if v.serves(e, replica) {
			return true
		}
	}
	return false
}

// Candidates returns the runners that can take a request for a replica, with
// their load and share of failures. Runners that want no requests of this VM for a
// time are left out. So are those that were just unreachable, but for a plain service
// they are returned if there are no others. The runners of a zone that was just taken out
// of service are returned if there are no others, too, until it must get none, and so are
// bounded runners for which this VM has permits.
func (v *View) Candidates(replica Replica) []drbalancer.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, uptime := v.clock.Now(), v.clock.Uptime()
	var cs, lastResort, unreachable []drbalancer.Candidate
	for _, e := range v.runners {
		if !v.serves(e, replica) || e.pauseLeft(uptime) > 0 || !v.freeOrPermitted(e, uptime) {
			continue
		}
		if u := e.counters[replica]; u != nil && now.Before(u.missingUntil) {
			continue
		}
		c := drbalancer.Candidate{Runner: e.runner, Load: e.running + e.runningElsewhere + e.returning(uptime),
			Elsewhere: e.runningElsewhere, RunningTokens: e.tokens.Running + e.tokensElsewhere.Running,
			UnreadTokens: e.tokens.Unread + e.tokensElsewhere.Unread, Failing: max(e.decayedFailureShare(now), e.fleetFailureShare)}
		if now.Before(e.unreachableUntil) {
			unreachable = append(unreachable, c)
			continue
		}
		if v.outages.Has(e.runner.Zone) || v.needsPermit(e, uptime) {
			lastResort = append(lastResort, c)
			continue
		}
		cs = append(cs, c)
	}
	if len(cs) == 0 {
		cs = lastResort
	}
	if len(cs) == 0 && replica.Model == "" {
		return unreachable
	}
	return cs
}

// decayedFailureShare returns the runner's share of failures at now. It falls
// with the time since the last request and is 0 after 4 half-lives.
func (e *entry) decayedFailureShare(now time.Time) float64 {
	age := now.Sub(e.failureShareAt)
	if age >= 4*failureHalfLife {
		return 0
	}
	return e.failureShare / (1 + float64(age)/float64(failureHalfLife))
}
