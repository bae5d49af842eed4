package drplacement

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Policy selects how an entry VM decides on which runner it loads a model.
type Policy int

// Placement policies.
const (
	// Rights loads models only under rights that the placement stream grants.
	Rights Policy = iota
	// LoadOnMiss is a baseline for comparison measurements only: each entry VM
	// loads a model on a runner that it chooses itself, without coordination.
	// It does not keep the decided number of replicas.
	LoadOnMiss
)

// Config holds the dependencies of a Placement. All fields but Policy and
// LoadsPerSecond are required.
type Config struct {
	Policy    Policy
	Clock     drclock.Clock
	Ledger    *Ledger
	Journal   Journal
	Catalogue Catalogue
	View      drmember.View
	Caller    drpeer.Caller
	Recorder  drtimeline.Recorder
	// Dial returns a client for the engine on a backend server.
	Dial func(drmember.Backend) drengine.Engine
	// LoadsPerSecond is the rate of model loads that the weight store sustains
	// for the whole fleet. At 0 only the number of slots limits loads.
	LoadsPerSecond float64
}

// Timing of ownership and of orders to engines.
const (
	// tick is the period of checks that no event triggers.
	tick = time.Second
	// logDownAfter is the age of the last confirmed read of the log at which
	// the log counts as down. It equals the freshness bound of the follower.
	logDownAfter = 4 * time.Second
	// lease is how long after its last confirmed read of the log an owner may
	// send orders to an engine that does not check fencing tokens.
	lease = 8 * time.Second
	// orderTimeout bounds the call that sends one order. clockDriftMargin
	// covers the difference in rate between the clocks of two VMs over one
	// lease, and a packet that arrives late.
	orderTimeout     = 2 * time.Second
	clockDriftMargin = time.Second
	// orderEffectWindow is how long an order without an answer may still take
	// effect.
	orderEffectWindow = orderTimeout + clockDriftMargin
	// takeoverWait is how long a new owner waits before its first order to an
	// engine that does not check fencing tokens: the lease of the earlier owner,
	// the timeout of an order sent at its end, and the margin. The order of a VM
	// that was paused can arrive even later, so its intent keeps the memory of
	// the order reserved.
	takeoverWait = lease + orderTimeout + clockDriftMargin
	// statePollWait is how long a state request waits at the engine for a
	// change.
	statePollWait = time.Second
	// stateMaxAge is the age of the last engine state at which the engine
	// counts as unreachable. The time that a state request waits is added to
	// it.
	stateMaxAge = 4 * time.Second
	// claimDelay is how long a runner may be without an owner before the next
	// VM in rank may claim it as well.
	claimDelay = 3 * time.Second
	// appendTimeout bounds an append to the log including the wait until the
	// record has been read back.
	appendTimeout = 2 * time.Second
	// retryPause is the pause before a failed call or append is repeated.
	retryPause = 200 * time.Millisecond
)

// Timing of loads, evictions and unloads.
const (
	// maxLoadRepeats bounds how often a load order without an answer is
	// repeated, once each tick, before the load counts as failed.
	maxLoadRepeats = 3
	// loadAppearTimeout is how long the replica of an accepted load order may
	// be missing from the engine state, which lags behind, before the load
	// counts as failed.
	loadAppearTimeout = 5 * time.Second
	// idleHysteresis is the shortest idle timeout: no model is unloaded as idle
	// sooner after its last use. defaultIdleTimeout applies to models that
	// declare none.
	idleHysteresis     = 30 * time.Second
	defaultIdleTimeout = 10 * time.Minute
	// recentUseWindow is how recent a use must be to protect a model from
	// eviction. It is longer than the period at which entry VMs report uses.
	recentUseWindow = 3 * time.Second
	// closingGrace bounds how long a replica that must be unloaded waits for
	// its last users.
	closingGrace = 30 * time.Second
	// wakeRequestTTL is how long a wake-up is served without being repeated by
	// a caller.
	wakeRequestTTL = 10 * time.Second
	// backoffFirst and backoffLast bound the pause after a failed load, which
	// doubles with each failure in a row.
	backoffFirst = 200 * time.Millisecond
	backoffLast  = 10 * time.Second
)

// Timing of calls between entry VMs and of slot loans.
const (
	// wakeHold is how long an owner may hold a Wake call before it answers.
	wakeHold = 2 * time.Second
	// residencyHold is how long an owner may hold a Residency call before it
	// answers. Uses are reported at the same period, because the call carries
	// them.
	residencyHold = time.Second
	// residencyMaxAge is the age at which the status of a runner is dropped
	// because its owner does not answer. It is longer than takeoverWait, so
	// that loaded models stay in use while a runner changes owner.
	residencyMaxAge = 20 * time.Second
	// loadReportPeriod is the shortest time between two reports that differ
	// only in the load of a runner.
	loadReportPeriod = 250 * time.Millisecond
	// watchDuration is how long an entry VM follows the runners of a model
	// after its last use there.
	watchDuration = time.Minute
	// callTimeout bounds short calls between VMs, including Slot calls. For
	// Wake and Residency calls, the time for which the handler may hold the
	// call is added to it.
	callTimeout = time.Second
	// demandJitter bounds the random pause before a VM plans a model in place
	// of an unreachable home VM.
	demandJitter = 400 * time.Millisecond
	// slotHold is how long the holder of slots may hold a call that asks for
	// one before it answers.
	slotHold = 250 * time.Millisecond
	// slotStartupPause is the pause between slot checks as long as some slots
	// have never been held: the log may not be read yet, or other VMs may not
	// be known yet.
	slotStartupPause = 20 * time.Millisecond
	// Slot loans end unless the borrower renews them, which it does at a third
	// of these durations. They are short because a VM that takes over a slot
	// must wait for the loans of the earlier holder.
	loadLoanDuration    = 6 * time.Second
	adapterLoanDuration = 3 * time.Second
)

// maxCandidateRunners bounds how many runners a planner asks about before it
// grants a right, so that the cost of a grant does not grow with the fleet.
const maxCandidateRunners = 64
