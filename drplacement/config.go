package drplacement

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Policy selects how models are placed.
type Policy int

// Policies.
const (
	// Rights places by the placement stream.
	Rights Policy = iota
	// LoadOnMiss is a baseline for comparison measurements only: each entry
	// VM loads on a runner of its own choice, without coordination. It does
	// not keep the decided number of replicas.
	LoadOnMiss
)

// Config holds what a Place depends on. All fields but Policy and
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
	// Dial returns the engine on a backend server.
	Dial func(drmember.Backend) drengine.Engine
	// LoadsPerSecond is the weight store's rate over the whole fleet; 0
	// means that only the number of slots bounds loads.
	LoadsPerSecond float64
}

// Times of ownership and orders.
const (
	// tick is the period of checks that no event triggers.
	tick = time.Second
	// logDownAfter is the age of the last confirmed read beyond which the log
	// counts as down; equals the freshness bound of the follower.
	logDownAfter = 4 * time.Second
	// lease is how long the owner of an engine that ignores fencing may send
	// orders after its last confirmed read of the log.
	lease = 8 * time.Second
	// orderTimeout bounds an order; driftMargin covers the difference in rate
	// of two VMs' clocks over a lease, and a late packet.
	orderTimeout     = 2 * time.Second
	clockDriftMargin = time.Second
	// orderEffectWindow is how long an order without an answer may take effect.
	orderEffectWindow = orderTimeout + clockDriftMargin
	// takeoverWait is how long a new owner of an engine that ignores fencing
	// waits before its first order.
	takeoverWait = lease + orderTimeout + clockDriftMargin
	// statePollWait is how long a state request waits for a change.
	statePollWait = time.Second
	// stateMaxAge is the age of the last state beyond which an engine counts
	// as unreachable.
	stateMaxAge = 4 * time.Second
	// claimDelay is how long a runner may be without owner before the next VM
	// in rank claims it as well.
	claimDelay = 3 * time.Second
	// appendTimeout bounds an append and the wait until it is read back.
	appendTimeout = 2 * time.Second
	// retryPause separates attempts after a failed call or append.
	retryPause = 200 * time.Millisecond
)

// Times of residency.
const (
	// maxLoadRepeats bounds the repeats of a load order without an answer, one each
	// tick, before the load counts as failed.
	maxLoadRepeats = 3
	// loadAppearTimeout is how long an accepted load may be missing from the
	// state, which lags, before it counts as failed.
	loadAppearTimeout = 5 * time.Second
	// idleHysteresis is how long a model stays after its last use.
	idleHysteresis     = 30 * time.Second
	defaultIdleTimeout = 10 * time.Minute
	// recentUseWindow is how recent a use must be to protect a model from eviction. It
	// is longer than the period in which entry VMs report uses.
	recentUseWindow = 3 * time.Second
	// closingGrace bounds how long a replica that must go waits for its users.
	closingGrace = 30 * time.Second
	// wakeRequestTTL is how long a wake-up stays wanted without being repeated.
	wakeRequestTTL = 10 * time.Second
	// Bounds of the pause after a failed load, which doubles each time.
	backoffFirst = 200 * time.Millisecond
	backoffLast  = 10 * time.Second
)

// Times of calls.
const (
	// wakeHold is how long an owner holds a Wake call.
	wakeHold = 2 * time.Second
	// residencyHold is how long an owner holds a Residency call; uses are
	// reported as often.
	residencyHold = time.Second
	// residencyMaxAge drops the status of a runner whose owner is silent. It
	// is longer than takeoverWait, so that loaded models stay in use while a
	// runner changes owner.
	residencyMaxAge = 20 * time.Second
	// loadReportPeriod bounds how often a change of load alone is pushed.
	loadReportPeriod = 250 * time.Millisecond
	// watchDuration is how long a runner stays subscribed after the last use.
	watchDuration = time.Minute
	// callTimeout bounds short calls between VMs.
	callTimeout = time.Second
	// demandJitter bounds the pause before a VM plans in place of an
	// unreachable home.
	demandJitter = 400 * time.Millisecond
	// slotHold is how long a holder lets a taker wait for a slot.
	slotHold = 250 * time.Millisecond
	// slotStartupPause is the pause between reviews while slots have never been
	// held: the log is not read yet, or other VMs are not known yet.
	slotStartupPause = 20 * time.Millisecond
	// Loans end unless renewed; the owner renews at a third. They are short,
	// because they delay the next holder of a slot.
	loadLoanDuration    = 6 * time.Second
	adapterLoanDuration = 3 * time.Second
)

// maxCandidateRunners bounds how many runners a planner asks about before a grant, so
// that its cost does not grow with the fleet.
const maxCandidateRunners = 64
