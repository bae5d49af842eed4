package drplacement

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Ledger is the fold of the placement stream. It is safe for concurrent use.
type Ledger struct {
	mu       sync.RWMutex
	offset   uint64
	runners  map[string]*ledgerRunner
	models   map[string]*ledgerModel
	slots    map[slotKey]Slot
	watchers []func(Change)
	changed  chan struct{}
}

type ledgerRunner struct {
	owner   Ownership
	intents []Intent
	rights  map[string]uint64 // model to grant
}

type ledgerModel struct {
	max          int
	configOffset uint64
	rights       []Right // in order of grant
}

type slotKey struct {
	kind   SlotKind
	number uint32
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{changed: make(chan struct{})}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.runners = make(map[string]*ledgerRunner)
	l.models = make(map[string]*ledgerModel)
	l.slots = make(map[slotKey]Slot)
}

// Watch calls f after each accepted record, in order. It must be called before
// the first record is applied; f must not block.
func (l *Ledger) Watch(f func(Change)) { l.watchers = append(l.watchers, f) }

// Changed returns a channel that is closed at the next accepted record.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changed
}

// Apply implements drlog.Folder. Records that cannot be decoded and records of
// unknown kinds are rejected.
func (l *Ledger) Apply(r drlog.Record) {
	var p drpb.PlacementRecord
	err := proto.Unmarshal(r.Data, &p)
	l.mu.Lock()
	l.offset = r.Offset
	var c Change
	accepted := false
	if err == nil {
		c, accepted = l.fold(r.Offset, &p)
	}
	l.mu.Unlock()
	if accepted {
		l.announce(c)
	}
}

func (l *Ledger) announce(c Change) {
	l.mu.Lock()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	for _, f := range l.watchers {
		f(c)
	}
}

func (l *Ledger) fold(offset uint64, p *drpb.PlacementRecord) (Change, bool) {
	switch k := p.Kind.(type) {
	case *drpb.PlacementRecord_Own:
		return Change{Runner: k.Own.Runner}, l.foldOwn(offset, k.Own)
	case *drpb.PlacementRecord_Decide:
		d := k.Decide
		return Change{Model: d.Model}, l.foldDecide(d.Model, int(d.Max), d.ConfigOffset)
	case *drpb.PlacementRecord_Grant:
		return Change{Runner: k.Grant.Runner, Model: k.Grant.Model}, l.foldGrant(offset, k.Grant)
	case *drpb.PlacementRecord_Release:
		return Change{Runner: k.Release.Runner, Model: k.Release.Model}, l.foldRelease(k.Release)
	case *drpb.PlacementRecord_Intent:
		return Change{Runner: k.Intent.Runner, Model: k.Intent.Model}, l.foldIntent(offset, k.Intent)
	case *drpb.PlacementRecord_Done:
		return Change{Runner: k.Done.Runner}, l.foldDone(k.Done)
	case *drpb.PlacementRecord_GiveUp:
		return Change{Runner: k.GiveUp.Runner}, l.foldGiveUp(k.GiveUp)
	case *drpb.PlacementRecord_Slot:
		return Change{}, l.foldSlot(offset, k.Slot)
	default:
		return Change{}, false
	}
}

// foldOwn accepts an own record that names the current ownership.
func (l *Ledger) foldOwn(offset uint64, o *drpb.PlacementOwn) bool {
	r := l.runners[o.Runner]
	var fence uint64
	if r != nil {
		fence = r.owner.Fence
	}
	if o.BasedOn != fence || o.Vm == "" {
		return false
	}
	if r == nil {
		r = &ledgerRunner{rights: make(map[string]uint64)}
		l.runners[o.Runner] = r
	}
	clean := r.owner.Fence == 0 || r.owner.VM == "" && r.owner.Clean
	r.owner = Ownership{VM: o.Vm, Incarnation: o.Incarnation, Fence: offset, Clean: clean}
	return true
}

// foldDecide accepts a decided number from a newer configuration.
func (l *Ledger) foldDecide(model string, limit int, configOffset uint64) bool {
	m := l.models[model]
	if m == nil {
		m = &ledgerModel{}
		l.models[model] = m
	}
	if configOffset <= m.configOffset {
		return false
	}
	changed := limit != m.max
	m.max, m.configOffset = limit, configOffset
	return changed
}

// foldGrant accepts a grant while there are fewer rights than decided. A grant
// from an older configuration than the decided number is rejected, because
// its author might not have granted it under the newer one.
func (l *Ledger) foldGrant(offset uint64, g *drpb.PlacementGrant) bool {
	l.foldDecide(g.Model, int(g.Max), g.ConfigOffset)
	m := l.models[g.Model]
	if g.ConfigOffset < m.configOffset || len(m.rights) >= m.max {
		return false
	}
	r := l.runners[g.Runner]
	if r == nil {
		r = &ledgerRunner{rights: make(map[string]uint64)}
		l.runners[g.Runner] = r
	}
	if _, ok := r.rights[g.Model]; ok {
		return false
	}
	r.rights[g.Model] = offset
	m.rights = append(m.rights, Right{Runner: g.Runner, Grant: offset})
	return true
}

// foldRelease accepts a release by the runner's owner. Naming the grant keeps
// a late copy of the record from ending a right that was granted again.
func (l *Ledger) foldRelease(e *drpb.PlacementRelease) bool {
	r := l.runners[e.Runner]
	if r == nil || r.owner.Fence != e.Fence || r.owner.VM == "" || e.Grant == 0 || r.rights[e.Model] != e.Grant {
		return false
	}
	for _, in := range r.intents {
		if in.Model == e.Model {
			return false
		}
	}
	delete(r.rights, e.Model)
	m := l.models[e.Model]
	m.rights = slices.DeleteFunc(m.rights, func(t Right) bool { return t.Grant == e.Grant })
	return true
}

// foldIntent accepts an intent of the current owner, for loads only under a
// right that need not be released.
func (l *Ledger) foldIntent(offset uint64, e *drpb.PlacementIntent) bool {
	r := l.runners[e.Runner]
	if r == nil || r.owner.Fence != e.Fence || r.owner.VM == "" {
		return false
	}
	if !e.Unload {
		grant, ok := r.rights[e.Model]
		if !ok || l.excess(e.Model, grant) {
			return false
		}
	}
	r.intents = append(r.intents, Intent{
		Offset: offset, VM: r.owner.VM, Incarnation: r.owner.Incarnation, Fence: e.Fence,
		Replica: e.Replica, Model: e.Model, Adapter: e.Adapter, Bytes: e.Bytes, Unload: e.Unload,
	})
	return true
}

// foldDone accepts the end of an intent from the process that stated it.
func (l *Ledger) foldDone(e *drpb.PlacementDone) bool {
	r := l.runners[e.Runner]
	if r == nil {
		return false
	}
	n := len(r.intents)
	r.intents = slices.DeleteFunc(r.intents, func(in Intent) bool {
		return in.Offset == e.Intent && in.Fence == e.Fence
	})
	return len(r.intents) < n
}

// foldGiveUp ends the intents under a fencing token, and the ownership if it
// is the current one. A runner without owner, rights and intents is forgotten,
// so that runners that no longer exist do not accumulate.
func (l *Ledger) foldGiveUp(e *drpb.PlacementGiveUp) bool {
	r := l.runners[e.Runner]
	if r == nil {
		return false
	}
	n := len(r.intents)
	r.intents = slices.DeleteFunc(r.intents, func(in Intent) bool { return in.Fence == e.Fence })
	accepted := len(r.intents) < n
	if e.Fence == r.owner.Fence && r.owner.VM != "" {
		r.owner.VM, r.owner.Incarnation, r.owner.Clean = "", 0, e.Clean
		accepted = true
	}
	if r.owner.VM == "" && r.owner.Clean && len(r.intents) == 0 && len(r.rights) == 0 {
		delete(l.runners, e.Runner)
	}
	return accepted
}

func (l *Ledger) foldSlot(offset uint64, e *drpb.PlacementSlot) bool {
	k := slotKey{SlotKind(e.Kind), e.Number}
	if k.kind >= slotKinds || e.Number >= k.kind.count() || l.slots[k].Offset != e.BasedOn {
		return false
	}
	l.slots[k] = Slot{
		Kind: k.kind, Number: e.Number, VM: e.Vm, Incarnation: e.Incarnation,
		Offset: offset, Clean: e.BasedOn == 0,
	}
	return true
}

// excess reports whether the right granted at offset grant is above the
// decided number: the newest grants are, because older ones are more likely
// to be in use.
func (l *Ledger) excess(model string, grant uint64) bool {
	m := l.models[model]
	i := slices.IndexFunc(m.rights, func(t Right) bool { return t.Grant == grant })
	return i >= m.max
}
