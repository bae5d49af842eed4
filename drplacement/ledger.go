package drplacement

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Ledger is the state that results from folding the records of the placement
// stream. It is safe for concurrent use.
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
	rights  map[string]uint64 // by model: offset of the grant
}

type ledgerModel struct {
	max          int
	configOffset uint64
	rights       []Right // oldest grant first
}

type slotKey struct {
	kind   SlotKind
	number uint32
}

// NewLedger returns a ledger at offset 0, before the first record.
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

// Watch registers a function that is called after each accepted record and each
// restored snapshot, in order. Watch must be called before the first record is
// applied. The function must not block.
func (l *Ledger) Watch(watcher func(Change)) { l.watchers = append(l.watchers, watcher) }

// Changed returns a channel that is closed when the next record is accepted or
// a snapshot is restored. Callers that wait for some state must get the channel
// before they read the state, so that they miss no change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changed
}

// Apply implements drlog.Folder. Records that cannot be decoded and records of
// unknown kinds advance the offset and are otherwise ignored.
func (l *Ledger) Apply(record drlog.Record) {
	var p drpb.PlacementRecord
	err := proto.Unmarshal(record.Data, &p)
	l.mu.Lock()
	l.offset = record.Offset
	var c Change
	accepted := false
	if err == nil {
		c, accepted = l.fold(record.Offset, &p)
	}
	l.mu.Unlock()
	if accepted {
		l.notifyWatchers(c)
	}
}

func (l *Ledger) notifyWatchers(change Change) {
	l.mu.Lock()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	for _, f := range l.watchers {
		f(change)
	}
}

// fold applies one record and reports what it concerns and whether it was
// accepted. A record that is not accepted can still change a decided number: a
// decide record that repeats the number raises its config offset, and a
// rejected grant carries a number of its own.
func (l *Ledger) fold(offset uint64, record *drpb.PlacementRecord) (Change, bool) {
	switch k := record.Kind.(type) {
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

// foldOwn accepts an own record that is based on the current fencing token of
// the runner, so that of several claims only the first succeeds.
func (l *Ledger) foldOwn(offset uint64, record *drpb.PlacementOwn) bool {
	r := l.runners[record.Runner]
	var fence uint64
	if r != nil {
		fence = r.owner.Fence
	}
	if record.BasedOn != fence || record.Vm == "" {
		return false
	}
	if r == nil {
		r = &ledgerRunner{rights: make(map[string]uint64)}
		l.runners[record.Runner] = r
	}
	clean := r.owner.Fence == 0 || r.owner.VM == "" && r.owner.Clean
	r.owner = Ownership{VM: record.Vm, Incarnation: record.Incarnation, Fence: offset, Clean: clean}
	return true
}

// foldDecide adopts the maximum number of replicas from a newer configuration
// and reports whether the number has changed.
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

// foldGrant accepts a grant as long as there are fewer rights than decided. A
// grant from an older configuration than the decided number is rejected,
// because the planner that wrote it might not have granted it under the newer
// one.
func (l *Ledger) foldGrant(offset uint64, record *drpb.PlacementGrant) bool {
	l.foldDecide(record.Model, int(record.Max), record.ConfigOffset)
	m := l.models[record.Model]
	if record.ConfigOffset < m.configOffset || len(m.rights) >= m.max {
		return false
	}
	r := l.runners[record.Runner]
	if r == nil {
		r = &ledgerRunner{rights: make(map[string]uint64)}
		l.runners[record.Runner] = r
	}
	if _, ok := r.rights[record.Model]; ok {
		return false
	}
	r.rights[record.Model] = offset
	m.rights = append(m.rights, Right{Runner: record.Runner, Grant: offset})
	return true
}

// foldRelease accepts a release by the owner of the runner when no intent for
// the model is open. The record names the grant, so that a late copy of it
// cannot end a right that was granted again.
func (l *Ledger) foldRelease(record *drpb.PlacementRelease) bool {
	r := l.runners[record.Runner]
	if r == nil || r.owner.Fence != record.Fence || r.owner.VM == "" || record.Grant == 0 || r.rights[record.Model] != record.Grant {
		return false
	}
	for _, in := range r.intents {
		if in.Model == record.Model {
			return false
		}
	}
	delete(r.rights, record.Model)
	m := l.models[record.Model]
	m.rights = slices.DeleteFunc(m.rights, func(t Right) bool { return t.Grant == record.Grant })
	return true
}

// foldIntent accepts an intent of the current owner. An intent to load needs a
// right that is not in excess.
func (l *Ledger) foldIntent(offset uint64, record *drpb.PlacementIntent) bool {
	r := l.runners[record.Runner]
	if r == nil || r.owner.Fence != record.Fence || r.owner.VM == "" {
		return false
	}
	if !record.Unload {
		grant, ok := r.rights[record.Model]
		if !ok || l.isExcess(record.Model, grant) {
			return false
		}
	}
	r.intents = append(r.intents, Intent{
		Offset: offset, VM: r.owner.VM, Incarnation: r.owner.Incarnation, Fence: record.Fence,
		Replica: record.Replica, Model: record.Model, Adapter: record.Adapter, Bytes: record.Bytes, Unload: record.Unload,
	})
	return true
}

// foldDone ends one intent, as confirmed by the process that appended it.
func (l *Ledger) foldDone(record *drpb.PlacementDone) bool {
	r := l.runners[record.Runner]
	if r == nil {
		return false
	}
	n := len(r.intents)
	r.intents = slices.DeleteFunc(r.intents, func(in Intent) bool {
		return in.Offset == record.Intent && in.Fence == record.Fence
	})
	return len(r.intents) < n
}

// foldGiveUp ends all intents under a fencing token, and the ownership if the
// token is the current one. A runner that was given up clean and has no rights
// and no intents is removed, so that runners that no longer exist do not
// accumulate.
func (l *Ledger) foldGiveUp(record *drpb.PlacementGiveUp) bool {
	r := l.runners[record.Runner]
	if r == nil {
		return false
	}
	n := len(r.intents)
	r.intents = slices.DeleteFunc(r.intents, func(in Intent) bool { return in.Fence == record.Fence })
	accepted := len(r.intents) < n
	if record.Fence == r.owner.Fence && r.owner.VM != "" {
		r.owner.VM, r.owner.Incarnation, r.owner.Clean = "", 0, record.Clean
		accepted = true
	}
	if r.owner.VM == "" && r.owner.Clean && len(r.intents) == 0 && len(r.rights) == 0 {
		delete(l.runners, record.Runner)
	}
	return accepted
}

// foldSlot accepts a claim of a weight store slot that is based on the current
// holding, so that of several claims only the first succeeds.
func (l *Ledger) foldSlot(offset uint64, record *drpb.PlacementSlot) bool {
	k := slotKey{SlotKind(record.Kind), record.Number}
	if k.kind >= slotKinds || record.Number >= k.kind.count() || l.slots[k].Offset != record.BasedOn {
		return false
	}
	l.slots[k] = Slot{
		Kind: k.kind, Number: record.Number, VM: record.Vm, Incarnation: record.Incarnation,
		Offset: offset, Clean: record.BasedOn == 0,
	}
	return true
}

// isExcess reports whether the right granted at offset grant exceeds the
// decided number. The newest rights are in excess first, because older ones are
// more likely to be in use. The caller holds l.mu.
func (l *Ledger) isExcess(model string, grant uint64) bool {
	m := l.models[model]
	i := slices.IndexFunc(m.rights, func(t Right) bool { return t.Grant == grant })
	return i >= m.max
}
