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

// probe probes the next VM. If it doesn't answer, other VMs are asked to probe it.
// It becomes suspect if they don't reach it either.
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

// nextTarget returns the VM to probe and a copy of its record before the probe, or
// "" if there is none. The VMs are probed in random order, each once per round,
// which bounds the time until a failure is noticed. While no other VM is alive or
// suspect, half of the probes go to random seeds, or all if no VM is known.
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

// expireSuspects makes the suspects unreachable that did not refute the suspicion
// within suspectTimeout. m.mu must be held.
func (m *Membership) expireSuspects() {
	now := m.config.Clock.Now()
	for _, r := range m.records {
		if r.State == Suspect && now.Sub(r.stateSince) >= suspectTimeout {
			m.setState(r, Unreachable, now)
		}
	}
}

// sendProbe sends a probe to vm and reports whether the probed VM answered. If
// target is not empty, vm is asked to probe target; otherwise vm itself is probed.
func (m *Membership) sendProbe(ctx context.Context, vm, target string, timeout time.Duration) bool {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, timeout)
	defer cancel()
	req := &drpb.MemberProbe{Target: target, Self: m.selfObservation(vm), Observations: m.pickObservations(vm)}
	resp := new(drpb.MemberProbeReply)
	err := m.config.Peers.Call(ctx, vm, methodProbe, req, resp)
	if err != nil {
		// A VM whose version doesn't implement probes is alive, too.
		return target == "" && drerror.ReasonOf(err) == drerror.Unimplemented
	}
	m.applyObservations(resp.GetObservations())
	m.recordContact(resp.GetSelf())
	return true
}

// probeIndirectly asks up to indirectProbers random alive VMs to probe vm at the
// same time, and reports whether vm answered one of them.
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

// markSuspect marks vm as suspect after a failed probe, unless its incarnation,
// refutation or state shows news of it that arrived during the probe. before is
// its record from before the probe.
func (m *Membership) markSuspect(vm string, before memberRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[vm]
	if !ok || r.Incarnation != before.Incarnation || r.refutation != before.refutation || r.State != Alive {
		return
	}
	m.setState(r, Suspect, m.config.Clock.Now())
}

// handleProbe handles a probe from another VM. It applies what the probe carries,
// and replies for this process or, if the probe has another target, relays it.
func (m *Membership) handleProbe(ctx context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	req := new(drpb.MemberProbe)
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode probe request")
	}
	m.applyObservations(req.GetObservations())
	m.recordContact(req.GetSelf())
	if target := req.GetTarget(); target != "" && target != m.self.VM {
		return m.relayProbe(ctx, target)
	}
	return &drpb.MemberProbeReply{Self: m.selfObservation(from.VM), Observations: m.pickObservations(from.VM)}, nil
}

// relayProbe probes target on behalf of another VM and returns target's
// observation of itself, or an error if target did not answer.
func (m *Membership) relayProbe(ctx context.Context, target string) (proto.Message, error) {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, directTimeout)
	defer cancel()
	req := &drpb.MemberProbe{Self: m.selfObservation(target), Observations: m.pickObservations(target)}
	resp := new(drpb.MemberProbeReply)
	if err := m.config.Peers.Call(ctx, target, methodProbe, req, resp); err != nil {
		return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "VM %s did not answer the relayed probe: %v", target, err)
	}
	m.applyObservations(resp.GetObservations())
	m.recordContact(resp.GetSelf())
	return &drpb.MemberProbeReply{Self: resp.GetSelf()}, nil
}

// Leave sets this process's state to Leaving and announces it to all members that
// are not unreachable, at most leaveFanOut at a time. It returns when each has
// answered or its probe has failed. A probe fails after indirectTimeout or when ctx
// ends.
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
