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
	// FreshBound is the greatest age of a confirmation at which a VM counts as
	// fresh. It is below 5 s because a withdrawn key must stop working within
	// 5 s.
	FreshBound = 4 * time.Second

	// evaluateInterval is the time between two evaluations of the state.
	evaluateInterval = time.Second

	// queryAge is the age of the confirmation from which members are queried
	// for their status. It is below FreshBound, so that the answers are there
	// when FreshBound passes.
	queryAge = FreshBound / 2

	// longOutageAge is the age of the confirmation from which each member is
	// queried only every longOutageQueryInterval, to save calls in a long
	// outage.
	longOutageAge           = 15 * time.Second
	longOutageQueryInterval = 3 * time.Second

	// statusTimeout limits the status query to one member.
	statusTimeout = 500 * time.Millisecond

	// peerAheadMargin is how much newer than this VM's own a peer's confirmation
	// must be to prove that the peer still reaches the log. VMs that lose the
	// log at the same moment and then pass confirmations to each other differ by
	// less than this.
	peerAheadMargin = 500 * time.Millisecond

	// defaultServeWithoutLog is used if FreshnessConfig.ServeWithoutLog is 0.
	defaultServeWithoutLog = time.Hour
)

// FreshnessConfig configures a Freshness. Followers, Peers, Members and Self are
// required.
type FreshnessConfig struct {
	// Followers read the streams that must all be fresh.
	Followers []*Follower
	// Peers calls the members and answers their queries.
	Peers *PeerRelay
	// Members returns the entry VMs that count towards the majority, including
	// this one: those on the platform's list that are not gone.
	Members func() []string
	// Self is this VM's name in Members.
	Self  string
	Clock drclock.Clock
	// ServeWithoutLog is the greatest age of this VM's confirmation at which the
	// state may be LogDown; older means Isolated. 0 means 1 h.
	ServeWithoutLog time.Duration
	Events          drtimeline.Recorder
}

// Freshness decides how far this VM can trust its view of the log. In particular
// it distinguishes a log that is down for all VMs from a network partition that
// cuts off this VM. It is safe for concurrent use.
type Freshness struct {
	config                 FreshnessConfig
	mu                     sync.Mutex
	statuses               map[string]memberStatus
	reachesMajority        bool      // whether this VM and those that answered are more than half
	newestPeerConfirmation time.Time // zero if none; in local time
	lastState              FreshnessState
}

// memberStatus is the result of the last status query to a member.
type memberStatus struct {
	requested time.Time
	ok        bool
	confirmed time.Time
}

// NewFreshness returns a Freshness. Until Run has queried the members, a VM that
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

// Run calls Evaluate once a second until ctx ends.
func (f *Freshness) Run(ctx context.Context) error {
	for {
		f.Evaluate(ctx)
		if err := f.config.Clock.Sleep(ctx, evaluateInterval); err != nil {
			return err
		}
	}
}

// State returns the current state. It is computed from the age of this VM's
// confirmations and the members' last answers, and makes no calls.
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

// oldestConfirmation returns the time of the oldest confirmation among the
// followed streams, or zero if one of them has none.
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

// Evaluate queries the members if the latest confirmation of a stream is older
// than queryAge, and catches up through the member with the newest one. It
// records an event when the state changes.
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

// queryMembers queries the status of all other members at once and waits for the
// answers. In a long outage it skips members that were queried recently. own is
// the time of this VM's own confirmation.
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

// queryStatus queries one member. The member counts as confirmed at the time of
// the oldest confirmation among the streams, zero if it has none for one of them.
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

// evaluateStatuses determines whether this VM reaches a majority of the current
// members. If the newest confirmation of a member is newer than this VM's own, it
// catches up through that member.
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
