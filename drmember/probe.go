package drmember

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// probe probes the next VM, and suspects it if neither it nor a VM asked to
// probe it answers.
func (m *Membership) probe(ctx context.Context) {
	vm, before := m.next()
	if vm == "" {
		return
	}
	if m.ask(ctx, vm, "", directTimeout) || ctx.Err() != nil {
		return
	}
	if m.askHelpers(ctx, vm) || ctx.Err() != nil {
		return
	}
	m.suspect(vm, before)
}

// next returns the VM to probe and its record before the probe. The VMs are
// probed in random order, each once per round, which bounds the time until a
// failure is noticed. While no peer is reachable, seeds are probed in between.
func (m *Membership) next() (string, record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if n := len(m.config.Seeds); n > 0 && len(m.view().candidates) < 2 && (len(m.records) == 0 || rand.N(2) == 0) {
		if s := m.config.Seeds[rand.N(n)]; s != m.self.Address {
			return s, record{}
		}
	}
	for range 2 {
		for len(m.order) > 0 {
			vm := m.order[len(m.order)-1]
			m.order = m.order[:len(m.order)-1]
			if r, ok := m.records[vm]; ok {
				return vm, *r
			}
		}
		for vm := range m.records {
			m.order = append(m.order, vm)
		}
		rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return "", record{}
}

// expire turns the suspects that did not refute in time into unreachable VMs.
func (m *Membership) expire() {
	now := m.config.Clock.Now()
	for _, r := range m.records {
		if r.State == Suspect && now.Sub(r.since) >= suspectTime {
			m.enter(r, Unreachable, now)
		}
	}
}

// ask sends a probe to vm, with a target if vm is to probe another VM, and
// reports whether the probed VM answered.
func (m *Membership) ask(ctx context.Context, vm, target string, timeout time.Duration) bool {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, timeout)
	defer cancel()
	req := &drpb.MemberProbe{Target: target, Self: m.selfObservation(vm), Observations: m.pick(vm)}
	resp := new(drpb.MemberProbeReply)
	err := m.config.Peers.Call(ctx, vm, methodProbe, req, resp)
	if err != nil {
		// A VM of another version that does not know probes is alive.
		return target == "" && drerror.ReasonOf(err) == drerror.Unimplemented
	}
	m.absorb(resp.GetObservations())
	m.heard(resp.GetSelf())
	return true
}

// askHelpers asks two other VMs to probe vm.
func (m *Membership) askHelpers(ctx context.Context, vm string) bool {
	var others []string
	for _, c := range m.Candidates() {
		if c.VM != vm && c.VM != m.self.VM && c.State == Alive {
			others = append(others, c.VM)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), helpers)]
	var wg sync.WaitGroup
	answers := make([]bool, len(others))
	for i, o := range others {
		wg.Go(func() { answers[i] = m.ask(ctx, o, vm, indirectTimeout) })
	}
	wg.Wait()
	return slices.Contains(answers, true)
}

// suspect marks vm as suspect unless something was learned about it since.
func (m *Membership) suspect(vm string, before record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[vm]
	if !ok || r.Incarnation != before.Incarnation || r.refutation != before.refutation || r.State != Alive {
		return
	}
	m.enter(r, Suspect, m.config.Clock.Now())
}

// answer is the handler of probes.
func (m *Membership) answer(ctx context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	req := new(drpb.MemberProbe)
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode probe")
	}
	m.absorb(req.GetObservations())
	m.heard(req.GetSelf())
	if t := req.GetTarget(); t != "" && t != m.self.VM {
		return m.relay(ctx, t)
	}
	return &drpb.MemberProbeReply{Self: m.selfObservation(from.VM), Observations: m.pick(from.VM)}, nil
}

// relay probes a VM on behalf of another one.
func (m *Membership) relay(ctx context.Context, target string) (proto.Message, error) {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, directTimeout)
	defer cancel()
	req := &drpb.MemberProbe{Self: m.selfObservation(target), Observations: m.pick(target)}
	resp := new(drpb.MemberProbeReply)
	if err := m.config.Peers.Call(ctx, target, methodProbe, req, resp); err != nil {
		return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "%s did not answer: %v", target, err)
	}
	m.absorb(resp.GetObservations())
	m.heard(resp.GetSelf())
	return &drpb.MemberProbeReply{Self: resp.GetSelf()}, nil
}

// Leave announces to all reachable members that this process is leaving. It
// returns when they have answered or could not be reached, or when ctx ends.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.enter(m.self, Leaving, m.config.Clock.Now())
	m.mu.Unlock()
	slots := make(chan struct{}, leaveFanOut)
	var wg sync.WaitGroup
	for _, c := range m.Members() {
		if c.VM == m.self.VM || c.State == Unreachable {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			m.ask(ctx, c.VM, "", indirectTimeout)
		})
	}
	wg.Wait()
}
