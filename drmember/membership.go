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

// Membership is this process's view of the VMs. It implements View.
type Membership struct {
	config Config

	mu      sync.Mutex
	self    *record
	records map[string]*record // entry VMs other than this one
	// gone holds the VMs that the list has not shown for long; since is when
	// they were found to be gone.
	gone     map[string]*record
	backends map[string][]Backend // by fleet
	// version and pollOK describe the last read of the list; polledAt is the
	// time of the last successful one.
	version  uint64
	pollOK   bool
	polledAt time.Time
	// order holds the VMs still to be probed in this round.
	order []string
	sends uint64
	// cached is the view derived from the records until it expires.
	cached *snapshot
}

// snapshot holds sorted members that stay correct until the given time.
type snapshot struct {
	members, candidates []Member
	until               time.Time
}

// New returns a membership that knows only this process; Run fills it.
func New(config Config) *Membership {
	c := config.withDefaults()
	return &Membership{
		config: c, self: &record{Member: c.Self}, records: make(map[string]*record),
		gone: make(map[string]*record), backends: make(map[string][]Backend),
	}
}

// Register registers the handler of probes.
func (m *Membership) Register(r drpeer.Registry) { r.Handle(methodProbe, m.answer) }

// Run polls the list and probes peers until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			_ = m.poll(ctx) // the view keeps the last list
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

// jittered returns d ± 5 %, which keeps the VMs from acting in step.
func jittered(d time.Duration) time.Duration { return d - d/20 + rand.N(d/10) }

// Self implements View.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfMember()
}

func (m *Membership) selfMember() Member {
	s := m.self.Member
	s.State = m.self.state(m.config.Clock.Now())
	return s
}

// Candidates implements View. Callers must not change the slice.
func (m *Membership) Candidates() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view().candidates
}

// Members implements View. Callers must not change the slice.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view().members
}

// Gone implements View.
func (m *Membership) Gone(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.gone[vm]
	return ok
}

// Backends implements View. Callers must not change the slice.
func (m *Membership) Backends(fleet string) []Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backends[fleet]
}

// Address returns the address of an entry VM. The name of a seed is its
// address, until it has told its VM.
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

// view returns the cached snapshot or makes a new one.
func (m *Membership) view() *snapshot {
	now := m.config.Clock.Now()
	if m.cached != nil && now.Before(m.cached.until) {
		return m.cached
	}
	s := &snapshot{members: []Member{m.selfMember()}, until: now.Add(time.Hour)}
	for _, r := range m.records {
		c := r.Member
		c.State = r.state(now)
		s.members = append(s.members, c)
		if c.State == Suspect {
			if end := r.since.Add(suspectTime); end.Before(s.until) {
				s.until = end
			}
		}
	}
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	for _, c := range s.members {
		if c.State == Alive || c.State == Suspect {
			s.candidates = append(s.candidates, c)
		}
	}
	m.cached = s
	return s
}

// stateEvents are the events of a change to a state.
var stateEvents = map[State]string{
	Alive: drtimeline.MemberAlive, Suspect: drtimeline.MemberSuspect,
	Unreachable: drtimeline.MemberUnreachable, Leaving: drtimeline.MemberLeaving,
}

// enter changes the state of r.
func (m *Membership) enter(r *record, s State, now time.Time) {
	if r.State != s {
		m.event(stateEvents[s], r.VM)
	}
	r.State, r.since = s, now
	m.changed(r)
}

// changed makes r's observation spread anew.
func (m *Membership) changed(r *record) {
	r.sends = 0
	m.cached = nil
}

func (m *Membership) event(name, vm string) {
	m.config.Events.Record(drtimeline.Event{Name: name, Detail: "vm=" + vm})
}

// absorb takes observations from a peer.
func (m *Membership) absorb(os []*drpb.MemberObservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	for _, o := range os {
		m.observe(o, now)
	}
}

func (m *Membership) observe(o *drpb.MemberObservation, now time.Time) {
	if o.GetVm() == m.self.VM {
		m.refute(o)
		return
	}
	r, ok := m.records[o.GetVm()]
	firstContact := ok && r.listed && r.Incarnation == 0 && r.State == Alive && State(o.GetState()) == Alive
	_, gone := m.gone[o.GetVm()]
	if State(o.GetState()) > Leaving || o.GetVm() == "" || (!ok && (gone || o.GetAddress() == "")) {
		return // unknown state, or a VM that could not be reached anyway
	}
	if !ok {
		r = &record{Member: Member{VM: o.GetVm()}, since: now}
		m.records[r.VM] = r
		m.event(drtimeline.MemberJoined, r.VM)
	} else if r.older(o) {
		return
	}
	r.Incarnation, r.refutation = o.GetIncarnation(), o.GetRefutation()
	if o.GetAddress() != "" && !r.listed {
		r.Zone, r.Address = o.GetZone(), o.GetAddress()
	}
	m.enter(r, State(o.GetState()), now)
	if firstContact {
		r.sends = neverSend // the others learn it from the list and their own probes
	}
}

// refute outbids a suspicion of this process.
func (m *Membership) refute(o *drpb.MemberObservation) {
	suspected := State(o.GetState()) == Suspect || State(o.GetState()) == Unreachable
	if suspected && o.GetIncarnation() == m.self.Incarnation && o.GetRefutation() >= m.self.refutation {
		m.self.refutation = o.GetRefutation() + 1
		m.changed(m.self)
	}
}

// heard notes that a VM answered or called; o is its observation of itself.
// A VM that talks exists, whatever the list shows.
func (m *Membership) heard(o *drpb.MemberObservation) {
	if o == nil || o.GetVm() == m.self.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.gone[o.GetVm()]; ok {
		delete(m.gone, r.VM)
		m.records[r.VM] = r
		m.event(drtimeline.MemberReturned, r.VM)
	}
	m.observe(o, m.config.Clock.Now())
	if r, ok := m.records[o.GetVm()]; ok {
		r.missing, r.absent = false, 0
	}
}

// pick returns the observations for a message to vm: first what is held
// against vm itself, so that it can refute, then those sent least often and
// least recently. A VM that the list does not show yet may be unable to read
// the list, and gets more of them, with addresses.
func (m *Membership) pick(vm string) []*drpb.MemberObservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	var os []*drpb.MemberObservation
	if r, ok := m.records[vm]; ok && (r.State == Suspect || r.State == Unreachable) {
		os = append(os, r.observation(now, false))
	}
	limit, count, full := spreadFactor*bits.Len(uint(len(m.records)+1)), maxObservations, m.unlisted(vm)
	if full {
		limit, count = neverSend+1, maxIntroduction
	}
	var rs []*record
	for _, r := range m.records {
		if r.sends < limit && r.VM != vm && (r.Incarnation != 0 || full) {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.lastSend, b.lastSend), cmp.Compare(a.VM, b.VM))
	})
	for _, r := range rs[:min(len(rs), count-len(os))] {
		m.sends++
		r.lastSend = m.sends
		if r.sends < neverSend {
			r.sends++
		}
		os = append(os, r.observation(now, full))
	}
	return os
}

// unlisted reports whether the newest list does not show vm.
func (m *Membership) unlisted(vm string) bool {
	r, ok := m.records[vm]
	return !ok || !r.listed
}

// selfObservation returns this process's observation of itself for vm.
func (m *Membership) selfObservation(vm string) *drpb.MemberObservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.observation(m.config.Clock.Now(), m.unlisted(vm))
}
