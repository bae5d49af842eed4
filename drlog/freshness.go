package drlog

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// FreshBound is the greatest age of a confirmation with which a VM counts
	// as fresh. A withdrawn key has to stop working within 5 s.
	FreshBound = 4 * time.Second

	evaluateInterval = time.Second

	// queryAge is the age at which the members are asked in advance, so that
	// the answers are there when FreshBound passes.
	queryAge = FreshBound / 2

	// longOutageAge is the age from which each member is asked only every
	// calmCycle, which keeps the cost low in a long outage.
	longOutageAge           = 15 * time.Second
	longOutageQueryInterval = 3 * time.Second

	statusTimeout = 500 * time.Millisecond

	// peerAheadMargin is how much later than this VM a peer must have confirmed to
	// prove that it still reaches the log. It exceeds the time by which VMs
	// differ that lost the log at the same moment and share confirmations.
	peerAheadMargin = 500 * time.Millisecond

	defaultServeWithoutLog = time.Hour
)

// FreshnessConfig sets up a Freshness.
type FreshnessConfig struct {
	// Followers are the streams that must be fresh.
	Followers []*Follower
	Peers     *PeerRelay
	// Members returns all entry VMs that count for the majority, this one
	// included: those of the platform's list that are not gone.
	Members func() []string
	Self    string
	Clock   drclock.Clock
	// ServeWithoutLog bounds the age with which LogDown may last.
	ServeWithoutLog time.Duration
	Events          drtimeline.Recorder
}

// Freshness tells a log that is down for all VMs from a VM that is cut off.
type Freshness struct {
	config                 FreshnessConfig
	mu                     sync.Mutex
	statuses               map[string]memberStatus
	reachesMajority        bool
	newestPeerConfirmation time.Time // latest confirmation of a peer, in local time
	lastState              FreshnessState
}

type memberStatus struct {
	requested time.Time
	ok        bool
	confirmed time.Time
}

// NewFreshness returns a Freshness. Until Run has asked the members, a VM that
// is not fresh counts as isolated.
func NewFreshness(config FreshnessConfig) *Freshness {
	if config.Clock == nil {
		config.Clock = drclock.System{}
	}
	if config.ServeWithoutLog == 0 {
		config.ServeWithoutLog = defaultServeWithoutLog
	}
	if config.Events == nil {
		config.Events = drtimeline.Discard{}
	}
	return &Freshness{config: config, statuses: make(map[string]memberStatus), lastState: Isolated}
}

// Run evaluates the state once a second until ctx ends.
func (f *Freshness) Run(ctx context.Context) error {
	for {
		f.Evaluate(ctx)
		if err := f.config.Clock.Sleep(ctx, evaluateInterval); err != nil {
			return err
		}
	}
}

// State returns the present state, from the age of the confirmations and the
// members' last answers.
func (f *Freshness) State() FreshnessState {
	now, own := f.config.Clock.Now(), f.oldestConfirmation()
	if own.IsZero() {
		return Isolated
	}
	age := now.Sub(own)
	if age <= FreshBound {
		return Fresh
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	peerFresh := f.newestPeerConfirmation.After(own.Add(peerAheadMargin)) && now.Sub(f.newestPeerConfirmation) <= FreshBound
	if f.reachesMajority && !peerFresh && age <= f.config.ServeWithoutLog {
		return LogDown
	}
	return Isolated
}

// oldestConfirmation returns the oldest confirmation of the streams, zero if one has
// none.
func (f *Freshness) oldestConfirmation() time.Time {
	var oldest time.Time
	for i, follower := range f.config.Followers {
		at := follower.Confirmed()
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// Evaluate asks the members if the streams are no longer confirmed, and
// catches up through a peer that is ahead.
func (f *Freshness) Evaluate(ctx context.Context) {
	if own := f.oldestConfirmation(); f.config.Clock.Since(own) <= queryAge {
		f.mu.Lock()
		clear(f.statuses)
		f.reachesMajority, f.newestPeerConfirmation = false, time.Time{}
		f.mu.Unlock()
	} else {
		f.queryMembers(ctx, own)
		f.evaluateStatuses(ctx, own)
	}
	state := f.State()
	f.mu.Lock()
	changed := state != f.lastState
	f.lastState = state
	f.mu.Unlock()
	if changed {
		f.config.Events.Record(drtimeline.Event{Name: drtimeline.LogFreshness, Detail: "state=" + state.String()})
	}
}

// queryMembers asks the members whose answers are no longer recent.
func (f *Freshness) queryMembers(ctx context.Context, own time.Time) {
	now := f.config.Clock.Now()
	var calls sync.WaitGroup
	for _, vm := range f.config.Members() {
		f.mu.Lock()
		last := f.statuses[vm]
		f.mu.Unlock()
		if vm == f.config.Self || (now.Sub(own) > longOutageAge && now.Sub(last.requested) < longOutageQueryInterval) {
			continue
		}
		calls.Go(func() {
			status := f.queryStatus(ctx, vm)
			f.mu.Lock()
			f.statuses[vm] = status
			f.mu.Unlock()
		})
	}
	calls.Wait()
}

func (f *Freshness) queryStatus(ctx context.Context, vm string) memberStatus {
	status := memberStatus{requested: f.config.Clock.Now()}
	callCtx, cancel := drclock.WithTimeout(ctx, f.config.Clock, statusTimeout)
	defer cancel()
	var resp drpb.LogStatusResponse
	if f.config.Peers.config.Caller.Call(callCtx, vm, MethodLogStatus, &drpb.LogStatusRequest{}, &resp) != nil {
		return status
	}
	status.ok = true
	ages := make(map[string]time.Duration)
	for _, s := range resp.Streams {
		if s.Confirmed {
			ages[s.Stream] = time.Duration(s.ConfirmedAgoNanos)
		}
	}
	for i, follower := range f.config.Followers {
		age, ok := ages[follower.Stream()]
		if !ok {
			status.confirmed = time.Time{}
			break
		}
		if at := status.requested.Add(-age); i == 0 || at.Before(status.confirmed) {
			status.confirmed = at
		}
	}
	return status
}

// evaluateStatuses counts the answers of the present members and reads through the one
// that confirmed last, if that was later than this VM did.
func (f *Freshness) evaluateStatuses(ctx context.Context, own time.Time) {
	members := f.config.Members()
	reached, newestVM := 0, ""
	var newest time.Time
	f.mu.Lock()
	for _, vm := range members {
		status := f.statuses[vm]
		if vm == f.config.Self || status.ok {
			reached++
		}
		if status.ok && status.confirmed.After(newest) {
			newest, newestVM = status.confirmed, vm
		}
	}
	f.reachesMajority = 2*reached > len(members)
	f.newestPeerConfirmation = newest
	f.mu.Unlock()
	if !newest.After(own) {
		return
	}
	f.config.Peers.setPreferred(newestVM)
	var reads sync.WaitGroup
	for _, follower := range f.config.Followers {
		reads.Go(func() { follower.ReadPeers(ctx) })
	}
	reads.Wait()
}
