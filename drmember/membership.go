package drmember

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Membership is this process's view of the VMs, kept current by Run. It implements
// View and is safe for concurrent use.
type Membership struct {
	config Config

	mu      sync.Mutex
	self    *memberRecord
	records map[string]*memberRecord // entry VMs other than this one
	// gone holds the entry VMs that the list has not shown for longer than
	// ListLag + ListMargin. Their stateSince is when they were found to be gone.
	gone     map[string]*memberRecord
	backends map[string][]Backend // by fleet
	// version is the version of the newest list, lastPollOK whether the last
	// poll succeeded, and polledAt the time of the last successful poll.
	version    uint64
	lastPollOK bool
	polledAt   time.Time
	// probeOrder holds the VMs still to be probed in this round, the next last.
	probeOrder   []string
	sendSequence uint64
	// cachedView is the last result of currentView, nil after a change.
	cachedView *viewSnapshot
}

// viewSnapshot holds the sorted members and candidates. Until validUntil no
// state changes by the passing of time alone.
type viewSnapshot struct {
	members, candidates []Member
	validUntil          time.Time
}

// New returns a Membership that knows only this process until Run polls the list
// and probes peers. config.Self, Lister and Peers must be set.
func New(config Config) *Membership {
	effective := config.withDefaults()
	return &Membership{
		config: effective, self: &memberRecord{Member: effective.Self}, records: make(map[string]*memberRecord),
		gone: make(map[string]*memberRecord), backends: make(map[string][]Backend),
	}
}

// Register registers the handler of probes from other VMs.
func (m *Membership) Register(registry drpeer.Registry) { registry.Handle(methodProbe, m.handleProbe) }

// Run polls the list and probes peers until ctx ends and all probes have ended.
// It may be called once.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			_ = m.poll(ctx) // after an error the view keeps the last list
			if m.config.Clock.Sleep(ctx, jittered(pollInterval)) != nil {
				return
			}
		}
	})
	wg.Go(func() {
		for m.config.Clock.Sleep(ctx, jittered(probeInterval)) == nil {
			wg.Go(func() { m.probe(ctx) })
		}
	})
	wg.Wait()
}

// jittered returns d ± 5 %, so that the VMs don't poll and probe at the same time.
func jittered(d time.Duration) time.Duration { return d - d/20 + rand.N(d/10) }

// Self implements View.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfMember()
}

// selfMember returns this process with its current state. m.mu must be held.
func (m *Membership) selfMember() Member {
	self := m.self.Member
	self.State = m.self.state(m.config.Clock.Now())
	return self
}

// Candidates implements View. Callers must not change the slice.
func (m *Membership) Candidates() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentView().candidates
}

// Members implements View. Callers must not change the slice.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentView().members
}

// Gone implements View.
func (m *Membership) Gone(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.gone[vm]
	return ok
}

// ListRead reports whether the list of VMs has been read since the start.
func (m *Membership) ListRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.polledAt.IsZero()
}

// Backends implements View. Callers must not change the slice.
func (m *Membership) Backends(fleet string) []Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backends[fleet]
}

// Address returns the address ("host:port") of an entry VM, and false if it is not
// known. A seed is called under its address as the name of the VM, because its VM
// is not known before it answers; for it Address returns the name itself.
func (m *Membership) Address(vm string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == m.self.VM {
		return m.self.Address, true
	}
	if r, ok := m.records[vm]; ok && r.Address != "" {
		return r.Address, true
	}
	if _, _, err := net.SplitHostPort(vm); err == nil && slices.Contains(m.config.Seeds, vm) {
		return vm, true
	}
	return "", false
}

// currentView returns the cached view or derives a new one from the records. m.mu
// must be held.
func (m *Membership) currentView() *viewSnapshot {
	now := m.config.Clock.Now()
	if m.cachedView != nil && now.Before(m.cachedView.validUntil) {
		return m.cachedView
	}
	view := &viewSnapshot{members: []Member{m.selfMember()}, validUntil: now.Add(time.Hour)}
	for _, r := range m.records {
		member := r.Member
		member.State = r.state(now)
		view.members = append(view.members, member)
		if member.State == Suspect {
			if end := r.stateSince.Add(suspectTimeout); end.Before(view.validUntil) {
				view.validUntil = end
			}
		}
	}
	slices.SortFunc(view.members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	for _, member := range view.members {
		if member.State == Alive || member.State == Suspect {
			view.candidates = append(view.candidates, member)
		}
	}
	m.cachedView = view
	return view
}

// stateEvents maps a state to the event of entering it.
var stateEvents = map[State]string{
	Alive: drtimeline.MemberAlive, Suspect: drtimeline.MemberSuspect,
	Unreachable: drtimeline.MemberUnreachable, Leaving: drtimeline.MemberLeaving,
}

// setState sets the state of r at time now, records an event if it differs from
// the previous one, and has the observation sent to peers again. m.mu must be
// held.
func (m *Membership) setState(r *memberRecord, state State, now time.Time) {
	if r.State != state {
		m.recordEvent(stateEvents[state], r.VM)
	}
	r.State, r.stateSince = state, now
	m.markChanged(r)
}

// markChanged must be called after each change of r. It has the observation of r
// sent to peers again and drops the cached view.
func (m *Membership) markChanged(r *memberRecord) {
	r.sends = 0
	m.cachedView = nil
}

func (m *Membership) recordEvent(name, vm string) {
	m.config.Events.Record(drtimeline.Event{Name: name, Detail: "vm=" + vm})
}

// applyObservations applies the observations in a peer's message.
func (m *Membership) applyObservations(observations []*drpb.MemberObservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	for _, o := range observations {
		m.applyObservation(o, now)
	}
}

// applyObservation updates the record of the observed VM unless the record
// supersedes the observation. An observation of this process as suspect or
// unreachable is refuted instead. m.mu must be held.
func (m *Membership) applyObservation(observation *drpb.MemberObservation, now time.Time) {
	if observation.GetVm() == m.self.VM {
		m.refute(observation)
		return
	}
	r, known := m.records[observation.GetVm()]
	firstContact := known && r.listed && r.Incarnation == 0 && r.State == Alive && State(observation.GetState()) == Alive
	_, gone := m.gone[observation.GetVm()]
	if State(observation.GetState()) > Leaving || observation.GetVm() == "" || (!known && (gone || observation.GetAddress() == "")) {
		return // an unknown state, no VM, a gone VM, or a new VM without an address to probe
	}
	if !known {
		r = &memberRecord{Member: Member{VM: observation.GetVm()}, stateSince: now}
		m.records[r.VM] = r
		m.recordEvent(drtimeline.MemberJoined, r.VM)
	} else if r.supersedes(observation) {
		return
	}
	r.Incarnation, r.refutation = observation.GetIncarnation(), observation.GetRefutation()
	if observation.GetAddress() != "" && !r.listed {
		r.Zone, r.Address = observation.GetZone(), observation.GetAddress()
	}
	m.setState(r, State(observation.GetState()), now)
	if firstContact {
		r.sends = sendsExhausted // the other VMs learn of it from the list and their own probes
	}
}

// refute answers an observation of this process as suspect or unreachable with a
// higher refutation number, so that this process's own observation of itself
// supersedes it at all peers. m.mu must be held.
func (m *Membership) refute(observation *drpb.MemberObservation) {
	suspected := State(observation.GetState()) == Suspect || State(observation.GetState()) == Unreachable
	if suspected && observation.GetIncarnation() == m.self.Incarnation && observation.GetRefutation() >= m.self.refutation {
		m.self.refutation = observation.GetRefutation() + 1
		m.markChanged(m.self)
	}
}

// recordContact applies the observation of itself that a VM sent with a probe or
// reply. A VM that communicates exists, whatever the list shows: it is no longer
// gone, and its absence from the list is counted anew. nil is ignored.
func (m *Membership) recordContact(selfObservation *drpb.MemberObservation) {
	if selfObservation == nil || selfObservation.GetVm() == m.self.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.gone[selfObservation.GetVm()]; ok {
		delete(m.gone, r.VM)
		m.records[r.VM] = r
		m.recordEvent(drtimeline.MemberReturned, r.VM)
	}
	m.applyObservation(selfObservation, m.config.Clock.Now())
	if r, ok := m.records[selfObservation.GetVm()]; ok {
		r.missedLastPoll, r.absentFor = false, 0
	}
}

// pickObservations returns the observations for a message to vm and counts them as
// sent. An observation of vm itself as suspect or unreachable comes first, so that
// vm can refute it, then those sent least often and least recently. A VM that the
// list does not show yet may be unable to read the list, so it gets more of them,
// with addresses.
func (m *Membership) pickObservations(vm string) []*drpb.MemberObservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	var observations []*drpb.MemberObservation
	if r, ok := m.records[vm]; ok && (r.State == Suspect || r.State == Unreachable) {
		observations = append(observations, r.observation(now, false))
	}
	maxSends, maxCount, withAddresses := retransmitFactor*bits.Len(uint(len(m.records)+1)), maxObservations, m.isUnlisted(vm)
	if withAddresses {
		maxSends, maxCount = sendsExhausted+1, maxObservationsToUnlisted
	}
	var pending []*memberRecord
	for _, r := range m.records {
		if r.sends < maxSends && r.VM != vm && (r.Incarnation != 0 || withAddresses) {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *memberRecord) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.lastSendSequence, b.lastSendSequence), cmp.Compare(a.VM, b.VM))
	})
	for _, r := range pending[:min(len(pending), maxCount-len(observations))] {
		m.sendSequence++
		r.lastSendSequence = m.sendSequence
		if r.sends < sendsExhausted {
			r.sends++
		}
		observations = append(observations, r.observation(now, withAddresses))
	}
	return observations
}

// isUnlisted reports whether the newest list does not show vm. m.mu must be held.
func (m *Membership) isUnlisted(vm string) bool {
	r, ok := m.records[vm]
	return !ok || !r.listed
}

// selfObservation returns this process's observation of itself for a message to
// vm. It has zone and address if the list does not show vm or this process.
func (m *Membership) selfObservation(vm string) *drpb.MemberObservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.observation(m.config.Clock.Now(), m.isUnlisted(vm))
}
