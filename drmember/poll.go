package drmember

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// errEmptyList is returned for a list without entry VMs. This process runs on
// one, so that such a list cannot be true and must not make the others gone.
var errEmptyList = errors.New("the VM list shows no entry VMs")

// poll reads the list once.
func (m *Membership) poll(ctx context.Context) error {
	ctx, cancel := drclock.WithTimeout(ctx, m.config.Clock, pollTimeout)
	defer cancel()
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	list, changed, err := m.config.Lister.VMs(ctx, version)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && changed && !slices.ContainsFunc(list.VMs, func(v ListedVM) bool { return v.Role == roleEntry }) {
		err = errEmptyList
	}
	if err != nil {
		if m.pollOK {
			m.event(drtimeline.VMListUnavailable, m.self.VM)
		}
		m.pollOK = false
		return err
	}
	now := m.config.Clock.Now()
	if changed {
		m.version = list.Version
		m.apply(list, now)
	}
	m.age(now)
	m.pollOK, m.polledAt = true, now
	return nil
}

// apply takes over a new list.
func (m *Membership) apply(list List, now time.Time) {
	for _, r := range m.records {
		r.listed = false
	}
	m.self.listed = false
	m.backends = make(map[string][]Backend)
	for _, v := range list.VMs {
		switch v.Role {
		case roleBackend:
			m.backends[v.Fleet] = append(m.backends[v.Fleet], Backend{
				VM: v.ID, Fleet: v.Fleet, Zone: v.Zone, Address: v.Address, Leaving: v.State == stateLeaving,
			})
		case roleEntry:
			m.list(v, now)
		}
	}
	for _, bs := range m.backends {
		slices.SortFunc(bs, func(a, b Backend) int { return cmp.Compare(a.VM, b.VM) })
	}
	m.cached = nil
}

// list takes over the entry of one entry VM.
func (m *Membership) list(v ListedVM, now time.Time) {
	r := m.self
	if v.ID != m.self.VM {
		var ok bool
		if r, ok = m.records[v.ID]; !ok {
			r = &record{Member: Member{VM: v.ID}, since: now}
			m.records[v.ID] = r
			m.event(drtimeline.MemberJoined, v.ID)
		}
		r.Zone, r.Address = v.Zone, v.Address
		delete(m.gone, v.ID)
	}
	r.listed, r.everListed = true, true
	leaving := v.State == stateLeaving
	if leaving && !r.listLeaving {
		m.event(drtimeline.MemberLeaving, v.ID)
	}
	r.listLeaving = leaving
}

// age counts how long VMs have been missing from the list. Time counts only
// between two successful polls in a row, at most twice the interval, so that
// neither an outage of the list nor a pause of this process makes a VM gone.
func (m *Membership) age(now time.Time) {
	gap := time.Duration(0)
	if m.pollOK {
		gap = min(now.Sub(m.polledAt), 2*pollInterval)
	}
	for vm, r := range m.records {
		switch {
		case r.listed:
			r.missing, r.absent = false, 0
		case !r.everListed:
			if r.state(now) == Unreachable && now.Sub(r.since) >= forgetUnlisted {
				m.forget(vm)
			}
		case !r.missing:
			r.missing, r.absent = true, 0
		default:
			r.absent += gap
			if r.absent > m.config.ListLag+m.config.ListMargin {
				m.forget(vm)
				m.gone[vm], r.since = r, now
				m.event(drtimeline.MemberGone, vm)
			}
		}
	}
	for vm, r := range m.gone {
		if now.Sub(r.since) >= forgetGone {
			delete(m.gone, vm)
		}
	}
}

func (m *Membership) forget(vm string) {
	delete(m.records, vm)
	m.cached = nil
}
