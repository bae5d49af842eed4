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
	vm, before := m.nextTarget()
	if vm == "" {
		return
	}
	if m.sendProbe(ctx, vm, "", directTimeout) || ctx.Err() != nil {
		return
	}
	if m.probeIndirectly(ctx, vm) || ctx.Err() != nil {
		return
	}
	m.markSuspect(vm, before)
}

// nextTarget returns the VM to probe and its record before the probe. The VMs are
// probed in random order, each once per round, which bounds the time until a
// failure is noticed. While no peer is reachable, seeds are probed in between.
func (m *Membership) nextTarget() (string, memberRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSuspects()
	if seedCount := len(m.config.Seeds); seedCount > 0 && len(m.currentView().candidates) < 2 && (len(m.records) == 0 || rand.N(2) == 0) {
		if seed := m.config.Seeds[rand.N(seedCount)]; seed != m.self.Address {
			return seed, memberRecord{}
		}
	}
	for range 2 {
		for len(m.probeOrder) > 0 {
			vm := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if r, ok := m.records[vm]; ok {
				return vm, *r
			}
		}
		for vm := range m.records {
			m.probeOrder = append(m.probeOrder, vm)
		}
		rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return "", memberRecord{}
}

// expireSuspects turns the suspects that did not refute in time into unreachable VMs.
func (m *Membership) expireSuspects() {
	now := m.config.Clock.Now()
	for _, r := range m.records {
		if r.State == Suspect && now.Sub(r.stateSince) >= suspectTimeout {
			m.setState(r, Unreachable, now)
		}
	}
}

// sendProbe sends a probe to vm, with a target if vm is to probe another VM, and
// reports whether the probed VM answered.
func (m *Membership) sendProbe(ctx context.Context, vm, target string, timeout time.Duration) bool {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, timeout)
	defer cancel()
	req := &drpb.MemberProbe{Target: target, Self: m.selfObservation(vm), Observations: m.pickObservations(vm)}
	resp := new(drpb.MemberProbeReply)
	err := m.config.Peers.Call(ctx, vm, methodProbe, req, resp)
	if err != nil {
		// A VM of another version that does not know probes is alive.
		return target == "" && drerror.ReasonOf(err) == drerror.Unimplemented
	}
	m.applyObservations(resp.GetObservations())
	m.recordContact(resp.GetSelf())
	return true
}

// probeIndirectly asks two other VMs to probe vm.
func (m *Membership) probeIndirectly(ctx context.Context, vm string) bool {
	var others []string
	for _, c := range m.Candidates() {
		if c.VM != vm && c.VM != m.self.VM && c.State == Alive {
			others = append(others, c.VM)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), indirectProbers)]
	var wg sync.WaitGroup
	answered := make([]bool, len(others))
	for i, o := range others {
		wg.Go(func() { answered[i] = m.sendProbe(ctx, o, vm, indirectTimeout) })
	}
	wg.Wait()
	return slices.Contains(answered, true)
}

// markSuspect marks vm as suspect unless something was learned about it since.
func (m *Membership) markSuspect(vm string, before memberRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[vm]
	if !ok || r.Incarnation != before.Incarnation || r.refutation != before.refutation || r.State != Alive {
		return
	}
	m.setState(r, Suspect, m.config.Clock.Now())
}

// handleProbe is the handler of probes.
func (m *Membership) handleProbe(ctx context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	req := new(drpb.MemberProbe)
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode probe")
	}
	m.applyObservations(req.GetObservations())
	m.recordContact(req.GetSelf())
	if target := req.GetTarget(); target != "" && target != m.self.VM {
		return m.relayProbe(ctx, target)
	}
	return &drpb.MemberProbeReply{Self: m.selfObservation(from.VM), Observations: m.pickObservations(from.VM)}, nil
}

// relayProbe probes a VM on behalf of another one.
func (m *Membership) relayProbe(ctx context.Context, target string) (proto.Message, error) {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, directTimeout)
	defer cancel()
	req := &drpb.MemberProbe{Self: m.selfObservation(target), Observations: m.pickObservations(target)}
	resp := new(drpb.MemberProbeReply)
	if err := m.config.Peers.Call(ctx, target, methodProbe, req, resp); err != nil {
		return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "%s did not answer: %v", target, err)
	}
	m.applyObservations(resp.GetObservations())
	m.recordContact(resp.GetSelf())
	return &drpb.MemberProbeReply{Self: resp.GetSelf()}, nil
}

// Leave announces to all reachable members that this process is leaving. It
// returns when they have answered or could not be reached, or when ctx ends.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.setState(m.self, Leaving, m.config.Clock.Now())
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
			m.sendProbe(ctx, c.VM, "", indirectTimeout)
		})
	}
	wg.Wait()
}
