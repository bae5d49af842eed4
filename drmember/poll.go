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

// errEmptyList is returned for a list without entry VMs. This process runs on an
// entry VM, so such a list is wrong and must not make the other VMs gone.
var errEmptyList = errors.New("the VM list shows no entry VMs")

// poll reads the list once and applies it. On an error the view is unchanged.
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
		if m.lastPollOK {
			m.recordEvent(drtimeline.VMListUnavailable, m.self.VM)
		}
		m.lastPollOK = false
		return err
	}
	now := m.config.Clock.Now()
	if changed {
		m.version = list.Version
		m.applyList(list, now)
	}
	m.updateAbsence(now)
	m.lastPollOK, m.polledAt = true, now
	return nil
}

// applyList replaces the backends and updates the records of the entry VMs from a
// new version of the list. m.mu must be held.
func (m *Membership) applyList(list List, now time.Time) {
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
			m.applyListedVM(v, now)
		}
	}
	for _, backends := range m.backends {
		slices.SortFunc(backends, func(a, b Backend) int { return cmp.Compare(a.VM, b.VM) })
	}
	m.cachedView = nil
}

// applyListedVM updates or adds the record of one listed entry VM, which is no
// longer gone. m.mu must be held.
func (m *Membership) applyListedVM(entry ListedVM, now time.Time) {
	r := m.self
	if entry.ID != m.self.VM {
		var ok bool
		if r, ok = m.records[entry.ID]; !ok {
			r = &memberRecord{Member: Member{VM: entry.ID}, stateSince: now}
			m.records[entry.ID] = r
			m.recordEvent(drtimeline.MemberJoined, entry.ID)
		}
		r.Zone, r.Address = entry.Zone, entry.Address
		delete(m.gone, entry.ID)
	}
	r.listed, r.everListed = true, true
	leaving := entry.State == stateLeaving
	if leaving && !r.listLeaving {
		m.recordEvent(drtimeline.MemberLeaving, entry.ID)
	}
	r.listLeaving = leaving
}

// updateAbsence adds up how long entry VMs have been absent from the list, and
// moves those to gone that were absent for longer than ListLag + ListMargin. Only
// time between two successive successful polls counts, and at most twice the
// interval, so that neither an outage of the list nor a pause of this process
// makes a VM gone. It also forgets VMs that were never listed and have been
// unreachable for forgetUnlistedAfter, and gone VMs after forgetGoneAfter. m.mu
// must be held.
func (m *Membership) updateAbsence(now time.Time) {
	elapsed := time.Duration(0)
	if m.lastPollOK {
		elapsed = min(now.Sub(m.polledAt), 2*pollInterval)
	}
	for vm, r := range m.records {
		switch {
		case r.listed:
			r.missedLastPoll, r.absentFor = false, 0
		case !r.everListed:
			if r.state(now) == Unreachable && now.Sub(r.stateSince) >= forgetUnlistedAfter {
				m.forget(vm)
			}
		case !r.missedLastPoll:
			r.missedLastPoll, r.absentFor = true, 0
		default:
			r.absentFor += elapsed
			if r.absentFor > m.config.ListLag+m.config.ListMargin {
				m.forget(vm)
				m.gone[vm], r.stateSince = r, now
				m.recordEvent(drtimeline.MemberGone, vm)
			}
		}
	}
	for vm, r := range m.gone {
		if now.Sub(r.stateSince) >= forgetGoneAfter {
			delete(m.gone, vm)
		}
	}
}

func (m *Membership) forget(vm string) {
	delete(m.records, vm)
	m.cachedView = nil
}
