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

	freshnessCycle = time.Second

	// askBound is the age at which the members are asked in advance, so that
	// the answers are there when FreshBound passes.
	askBound = FreshBound / 2

	// askCalmly is the age from which each member is asked only every
	// calmCycle, which keeps the cost low in a long outage.
	askCalmly = 15 * time.Second
	calmCycle = 3 * time.Second

	statusTimeout = 500 * time.Millisecond

	// aheadMargin is how much later than this VM a peer must have confirmed to
	// prove that it still reaches the log. It exceeds the time by which VMs
	// differ that lost the log at the same moment and share confirmations.
	aheadMargin = 500 * time.Millisecond

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
	config   FreshnessConfig
	mu       sync.Mutex
	answers  map[string]statusAnswer
	majority bool
	newest   time.Time // latest confirmation of a peer, in local time
	last     FreshnessState
}

type statusAnswer struct {
	asked     time.Time
	ok        bool
	confirmed time.Time
}

// NewFreshness returns a Freshness. Until Run has asked the members, a VM that
// is not fresh counts as isolated.
func NewFreshness(c FreshnessConfig) *Freshness {
	if c.Clock == nil {
		c.Clock = drclock.System{}
	}
	if c.ServeWithoutLog == 0 {
		c.ServeWithoutLog = defaultServeWithoutLog
	}
	if c.Events == nil {
		c.Events = drtimeline.Discard{}
	}
	return &Freshness{config: c, answers: make(map[string]statusAnswer), last: Isolated}
}

// Run evaluates the state once a second until ctx ends.
func (f *Freshness) Run(ctx context.Context) error {
	for {
		f.Evaluate(ctx)
		if err := f.config.Clock.Sleep(ctx, freshnessCycle); err != nil {
			return err
		}
	}
}

// State returns the present state, from the age of the confirmations and the
// members' last answers.
func (f *Freshness) State() FreshnessState {
	now, own := f.config.Clock.Now(), f.confirmed()
	if own.IsZero() {
		return Isolated
	}
	age := now.Sub(own)
	if age <= FreshBound {
		return Fresh
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	peerFresh := f.newest.After(own.Add(aheadMargin)) && now.Sub(f.newest) <= FreshBound
	if f.majority && !peerFresh && age <= f.config.ServeWithoutLog {
		return LogDown
	}
	return Isolated
}

// confirmed returns the oldest confirmation of the streams, zero if one has
// none.
func (f *Freshness) confirmed() time.Time {
	var oldest time.Time
	for i, w := range f.config.Followers {
		at := w.Confirmed()
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// Evaluate asks the members if the streams are no longer confirmed, and
// catches up through a peer that is ahead.
func (f *Freshness) Evaluate(ctx context.Context) {
	if own := f.confirmed(); f.config.Clock.Since(own) <= askBound {
		f.mu.Lock()
		clear(f.answers)
		f.majority, f.newest = false, time.Time{}
		f.mu.Unlock()
	} else {
		f.ask(ctx, own)
		f.judge(ctx, own)
	}
	state := f.State()
	f.mu.Lock()
	changed := state != f.last
	f.last = state
	f.mu.Unlock()
	if changed {
		f.config.Events.Record(drtimeline.Event{Name: drtimeline.LogFreshness, Detail: "state=" + state.String()})
	}
}

// ask asks the members whose answers are no longer recent.
func (f *Freshness) ask(ctx context.Context, own time.Time) {
	now := f.config.Clock.Now()
	var calls sync.WaitGroup
	for _, vm := range f.config.Members() {
		f.mu.Lock()
		last := f.answers[vm]
		f.mu.Unlock()
		if vm == f.config.Self || (now.Sub(own) > askCalmly && now.Sub(last.asked) < calmCycle) {
			continue
		}
		calls.Go(func() {
			a := f.askMember(ctx, vm)
			f.mu.Lock()
			f.answers[vm] = a
			f.mu.Unlock()
		})
	}
	calls.Wait()
}

func (f *Freshness) askMember(ctx context.Context, vm string) statusAnswer {
	a := statusAnswer{asked: f.config.Clock.Now()}
	call, cancel := drclock.WithTimeout(ctx, f.config.Clock, statusTimeout)
	defer cancel()
	var resp drpb.LogStatusResponse
	if f.config.Peers.config.Caller.Call(call, vm, MethodLogStatus, &drpb.LogStatusRequest{}, &resp) != nil {
		return a
	}
	a.ok = true
	ages := make(map[string]time.Duration)
	for _, s := range resp.Streams {
		if s.Confirmed {
			ages[s.Stream] = time.Duration(s.ConfirmedAgoNanos)
		}
	}
	for i, w := range f.config.Followers {
		age, ok := ages[w.Stream()]
		if !ok {
			a.confirmed = time.Time{}
			break
		}
		if at := a.asked.Add(-age); i == 0 || at.Before(a.confirmed) {
			a.confirmed = at
		}
	}
	return a
}

// judge counts the answers of the present members and reads through the one
// that confirmed last, if that was later than this VM did.
func (f *Freshness) judge(ctx context.Context, own time.Time) {
	members := f.config.Members()
	reached, ahead := 0, ""
	var newest time.Time
	f.mu.Lock()
	for _, vm := range members {
		a := f.answers[vm]
		if vm == f.config.Self || a.ok {
			reached++
		}
		if a.ok && a.confirmed.After(newest) {
			newest, ahead = a.confirmed, vm
		}
	}
	f.majority = 2*reached > len(members)
	f.newest = newest
	f.mu.Unlock()
	if !newest.After(own) {
		return
	}
	f.config.Peers.prefer(ahead)
	var reads sync.WaitGroup
	for _, w := range f.config.Followers {
		reads.Go(func() { w.ReadPeers(ctx) })
	}
	reads.Wait()
}
