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

// applyList takes over a new list.
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

// applyListedVM takes over the entry of one entry VM.
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

// updateAbsence counts how long VMs have been missing from the list. Time counts only
// between two successful polls in a row, at most twice the interval, so that
// neither an outage of the list nor a pause of this process makes a VM gone.
func (m *Membership) updateAbsence(now time.Time) {
	countedTime := time.Duration(0)
	if m.lastPollOK {
		countedTime = min(now.Sub(m.polledAt), 2*pollInterval)
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
			r.absentFor += countedTime
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
