package drplacement

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// Snapshot implements drlog.Folder. Ledgers at the same offset return identical
// bytes on all VMs.
func (l *Ledger) Snapshot() []byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := &drpb.PlacementSnapshot{}
	for _, name := range slices.Sorted(maps.Keys(l.runners)) {
		r := l.runners[name]
		p := &drpb.PlacementSnapshot_Runner{
			Runner: name, Vm: r.owner.VM, Incarnation: r.owner.Incarnation,
			Fence: r.owner.Fence, Clean: r.owner.Clean,
		}
		for _, in := range r.intents {
			p.Intents = append(p.Intents, &drpb.PlacementSnapshot_Held{
				Offset: in.Offset, Vm: in.VM, Incarnation: in.Incarnation,
				Intent: &drpb.PlacementIntent{
					Fence: in.Fence, Replica: in.Replica, Model: in.Model,
					Adapter: in.Adapter, Bytes: in.Bytes, Unload: in.Unload,
				},
			})
		}
		s.Runners = append(s.Runners, p)
	}
	for _, name := range slices.Sorted(maps.Keys(l.models)) {
		m := l.models[name]
		p := &drpb.PlacementSnapshot_Model{Model: name, Max: uint32(m.max), ConfigOffset: m.configOffset}
		for _, t := range m.rights {
			p.Rights = append(p.Rights, &drpb.PlacementSnapshot_Right{Runner: t.Runner, Grant: t.Grant})
		}
		s.Models = append(s.Models, p)
	}
	for kind := range slotKinds {
		for n := range kind.count() {
			if t, ok := l.slots[slotKey{kind, n}]; ok {
				s.Slots = append(s.Slots, &drpb.PlacementSnapshot_Slot{
					Slot:   &drpb.PlacementSlot{Kind: uint32(kind), Number: n, Vm: t.VM, Incarnation: t.Incarnation},
					Offset: t.Offset, Clean: t.Clean,
				})
			}
		}
	}
	// Marshalling messages without maps cannot fail.
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return b
}

// Restore implements drlog.Folder. It replaces the whole state and notifies
// watchers that anything may have changed.
func (l *Ledger) Restore(offset uint64, snapshot []byte) error {
	var s drpb.PlacementSnapshot
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("decode placement snapshot at offset %d: %w", offset, err)
	}
	l.mu.Lock()
	l.reset()
	l.offset = offset
	for _, p := range s.Runners {
		r := l.restoreRunner(p.Runner)
		r.owner = Ownership{VM: p.Vm, Incarnation: p.Incarnation, Fence: p.Fence, Clean: p.Clean}
		for _, h := range p.Intents {
			in := h.Intent
			r.intents = append(r.intents, Intent{
				Offset: h.Offset, VM: h.Vm, Incarnation: h.Incarnation, Fence: in.GetFence(),
				Replica: in.GetReplica(), Model: in.GetModel(), Adapter: in.GetAdapter(),
				Bytes: in.GetBytes(), Unload: in.GetUnload(),
			})
		}
	}
	for _, p := range s.Models {
		m := &ledgerModel{max: int(p.Max), configOffset: p.ConfigOffset}
		l.models[p.Model] = m
		for _, t := range p.Rights {
			m.rights = append(m.rights, Right{Runner: t.Runner, Grant: t.Grant})
			l.restoreRunner(t.Runner).rights[p.Model] = t.Grant
		}
	}
	for _, p := range s.Slots {
		t := p.Slot
		kind := SlotKind(t.GetKind())
		l.slots[slotKey{kind, t.GetNumber()}] = Slot{
			Kind: kind, Number: t.GetNumber(), VM: t.GetVm(), Incarnation: t.GetIncarnation(),
			Offset: p.Offset, Clean: p.Clean,
		}
	}
	l.mu.Unlock()
	l.notifyWatchers(Change{})
	return nil
}

// restoreRunner returns the entry of a runner and adds it if needed. The caller
// holds l.mu.
func (l *Ledger) restoreRunner(name string) *ledgerRunner {
	r := l.runners[name]
	if r == nil {
		r = &ledgerRunner{rights: make(map[string]uint64)}
		l.runners[name] = r
	}
	return r
}
