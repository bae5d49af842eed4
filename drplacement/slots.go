package drplacement

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// Slots shares the weight store. Each slot is held by a VM, which lends it for
// one load at a time; with the log down the holders stay and go on lending.
type Slots struct {
	p     *Place
	mu    sync.Mutex
	lent  map[slotKey]*lending
	freed chan struct{} // closed when a loan ends
	next  uint64        // last loan id
	work  sync.WaitGroup
	// unheardSince holds the holders that are not known; only run uses it.
	unheardSince map[string]time.Time
}

// lending is the state of a slot at its holder.
type lending struct {
	offset uint64 // holding that this state belongs to
	loan   uint64
	until  time.Time // end of the loan
	from   time.Time // earliest start of the next loan
}

func newSlots(p *Place) *Slots {
	return &Slots{p: p, lent: make(map[slotKey]*lending), freed: make(chan struct{}), next: rand.Uint64() >> 1, unheardSince: make(map[string]time.Time)}
}

func (s SlotKind) loan() time.Duration {
	if s == AdapterSlot {
		return adapterLoan
	}
	return loadLoan
}

// run takes over slots whose holder is gone, and slots of a holder that has
// more than its share because it started first.
func (s *Slots) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.review(ctx)
		if s.p.Clock.Sleep(ctx, s.pause()) != nil {
			return
		}
	}
}

// pause returns the time to the next review. Until all slots are held it is
// short, because no model can be loaded from the weight store without one.
func (s *Slots) pause() time.Duration {
	for kind := range slotKinds {
		if len(s.p.Ledger.Slots(kind)) < int(kind.count()) {
			return slotStart
		}
	}
	return tick
}

func (s *Slots) review(ctx context.Context) {
	self := s.p.View.Self()
	candidates := s.p.View.Candidates()
	if s.p.logDown() || len(candidates) == 0 {
		return
	}
	alive := make(drcollection.Set[string], len(candidates))
	for _, m := range candidates {
		alive.Add(m.VM)
	}
	f := newFleet(s.p.View)
	for kind := range slotKinds {
		held := make(map[uint32]Slot)
		for _, t := range s.p.Ledger.Slots(kind) {
			held[t.Number] = t
			if t.VM == self.VM {
				s.noticeHeld(t)
			}
		}
		share := (int(kind.count()) + len(candidates) - 1) / len(candidates)
		surplus := surplusSlots(held, share, func(n uint32) string { return firstOf(slotName(kind, n), candidates) })
		for n := range kind.count() {
			t := held[n]
			restarted := t.VM == self.VM && t.Incarnation != self.Incarnation
			kept := (alive.Has(t.VM) || s.unheard(t.VM, f)) && (!surplus.Has(n) || t.VM == self.VM) && !restarted
			if kept || !restarted && !first(slotName(kind, n), candidates, self.VM) {
				continue
			}
			s.take(ctx, kind, n, t.Offset)
		}
	}
}

// unheard reports whether a holder may merely not have been heard of yet, as
// when this VM has just started. That ends after claimPause.
func (s *Slots) unheard(vm string, f fleet) bool {
	if vm == "" || f.present.Has(vm) || f.lost(vm) {
		delete(s.unheardSince, vm)
		return false
	}
	since, known := s.unheardSince[vm]
	if !known {
		since = s.p.Clock.Now()
		s.unheardSince[vm] = since
	}
	return s.p.Clock.Since(since) < claimPause
}

// surplusSlots returns the slots that move to other VMs because their holders
// have more than share. A holder keeps its share: the new holder of a slot
// waits for loans of the earlier one, so that no load could begin for seconds
// if all slots moved at once.
func surplusSlots(held map[uint32]Slot, share int, first func(n uint32) string) drcollection.Set[uint32] {
	holds := make(map[string]int)
	for _, t := range held {
		holds[t.VM]++
	}
	surplus := make(drcollection.Set[uint32])
	for _, n := range slices.Sorted(maps.Keys(held)) {
		if vm := held[n].VM; holds[vm] > share && first(n) != vm {
			surplus.Add(n)
			holds[vm]--
		}
	}
	return surplus
}

func (s *Slots) take(ctx context.Context, kind SlotKind, n uint32, basedOn uint64) {
	self := s.p.View.Self()
	// A failed append is repeated at the next tick; the fold accepts one.
	_, _ = s.p.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Slot{Slot: &drpb.PlacementSlot{
		Kind: uint32(kind), Number: n, Vm: self.VM, Incarnation: self.Incarnation, BasedOn: basedOn,
	}}})
}

func (s *Slots) handle(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var c drpb.PlacementSlotCall
	if err := proto.Unmarshal(body, &c); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode slot call")
	}
	return s.serve(ctx, &c), nil
}

// serve answers a call, waiting up to hold_ms for a free slot.
func (s *Slots) serve(ctx context.Context, c *drpb.PlacementSlotCall) *drpb.PlacementSlotReply {
	kind := SlotKind(c.Kind)
	if kind >= slotKinds {
		return &drpb.PlacementSlotReply{WaitMs: uint64(tick.Milliseconds())}
	}
	if c.Loan != 0 {
		return s.extend(kind, c)
	}
	end := s.p.Clock.Now().Add(time.Duration(c.HoldMs) * time.Millisecond)
	for {
		loan, wait, freed := s.lend(kind)
		left := end.Sub(s.p.Clock.Now())
		if loan != 0 || left <= 0 || ctx.Err() != nil {
			return &drpb.PlacementSlotReply{Granted: loan != 0, Loan: loan, WaitMs: uint64(wait.Milliseconds())}
		}
		t := s.p.Clock.NewTimer(min(left, max(wait, time.Millisecond)))
		select {
		case <-freed:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// lend lends a free slot of this VM, or returns the time until one may be free.
func (s *Slots) lend(kind SlotKind) (loan uint64, wait time.Duration, freed <-chan struct{}) {
	now, self := s.p.Clock.Now(), s.p.View.Self()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = tick
	for _, t := range s.p.Ledger.Slots(kind) {
		if t.VM != self.VM || t.Incarnation != self.Incarnation {
			continue
		}
		n := s.lending(t, now)
		free := n.from
		if n.loan != 0 && n.until.After(free) {
			free = n.until
		}
		if free.After(now) {
			wait = min(wait, free.Sub(now))
			continue
		}
		s.next++
		n.loan, n.until = s.next, now.Add(kind.loan())
		if kind == LoadSlot && s.p.LoadsPerSecond > 0 {
			// Each slot has an equal share of the store's rate.
			n.from = now.Add(time.Duration(float64(loadSlots) / s.p.LoadsPerSecond * float64(time.Second)))
		}
		return n.loan, 0, s.freed
	}
	return 0, wait, s.freed
}

// noticeHeld starts the wait of a new holder before the first loan is asked for.
func (s *Slots) noticeHeld(t Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lending(t, s.p.Clock.Now())
}

// lending returns the state of a held slot. A new holder waits until most loans
// of the earlier one have ended, which has been silent for about half a loan.
func (s *Slots) lending(t Slot, now time.Time) *lending {
	k := slotKey{t.Kind, t.Number}
	n := s.lent[k]
	if n == nil || n.offset != t.Offset {
		n = &lending{offset: t.Offset, from: now}
		if !t.Clean {
			n.from = now.Add(t.Kind.loan() / 2)
		}
		s.lent[k] = n
	}
	return n
}

// extend renews a loan or takes it back.
func (s *Slots) extend(kind SlotKind, c *drpb.PlacementSlotCall) *drpb.PlacementSlotReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.lent {
		if n.loan != c.Loan {
			continue
		}
		if c.GiveBack {
			n.loan, n.until = 0, time.Time{}
			close(s.freed)
			s.freed = make(chan struct{})
			break
		}
		n.until = s.p.Clock.Now().Add(kind.loan())
		return &drpb.PlacementSlotReply{Granted: true, Loan: c.Loan}
	}
	return &drpb.PlacementSlotReply{}
}

func (s *Slots) call(ctx context.Context, vm string, c *drpb.PlacementSlotCall) (*drpb.PlacementSlotReply, error) {
	if vm == s.p.View.Self().VM {
		return s.serve(ctx, c), nil
	}
	ctx, cancel := s.p.timeout(ctx, callTimeout)
	defer cancel()
	var r drpb.PlacementSlotReply
	return &r, s.p.Caller.Call(ctx, vm, methodSlot, c, &r)
}

// acquire borrows a slot and renews the loan until give is called. wait gets
// the expected waiting time before each pause.
func (s *Slots) acquire(ctx context.Context, kind SlotKind, wait func(time.Duration)) (give func(), err error) {
	hold := time.Duration(0)
	for {
		shortest, changed := tick, s.p.Ledger.Changed()
		for _, vm := range s.holders(kind) {
			r, err := s.call(ctx, vm, &drpb.PlacementSlotCall{Kind: uint32(kind), HoldMs: uint64(hold.Milliseconds())})
			if err == nil && r.Granted {
				return s.keep(ctx, kind, vm, r.Loan), nil
			}
			if err == nil {
				shortest = min(shortest, time.Duration(r.WaitMs)*time.Millisecond)
			}
		}
		wait(shortest)
		if hold > 0 && shortest == tick {
			// No holder answers or all are busy: do not spin.
			s.await(ctx, changed)
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		hold = slotHold
	}
}

// await waits for a change of the ledger, such as a first holder, or for
// retryPause.
func (s *Slots) await(ctx context.Context, changed <-chan struct{}) {
	t := s.p.Clock.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C():
	case <-ctx.Done():
	}
}

// holders returns the live VMs that hold slots of a kind, in random order.
func (s *Slots) holders(kind SlotKind) []string {
	held, vms := make(drcollection.Set[string]), make(drcollection.Set[string])
	for _, t := range s.p.Ledger.Slots(kind) {
		held.Add(t.VM)
	}
	for _, m := range s.p.View.Candidates() {
		if held.Has(m.VM) {
			vms.Add(m.VM)
		}
	}
	hs := drcollection.Sorted(vms)
	rand.Shuffle(len(hs), func(i, j int) { hs[i], hs[j] = hs[j], hs[i] })
	return hs
}

// keep renews a loan until the returned function is called, which gives it
// back. A loan that cannot be given back expires.
func (s *Slots) keep(ctx context.Context, kind SlotKind, vm string, loan uint64) func() {
	renewing, cancel := context.WithCancel(ctx)
	s.work.Go(func() {
		for s.p.Clock.Sleep(renewing, kind.loan()/3) == nil {
			_, _ = s.call(renewing, vm, &drpb.PlacementSlotCall{Kind: uint32(kind), Loan: loan})
		}
		_, _ = s.call(context.WithoutCancel(ctx), vm, &drpb.PlacementSlotCall{Kind: uint32(kind), Loan: loan, GiveBack: true})
	})
	return cancel
}

// first reports whether vm ranks first for name.
func first(name string, candidates []drmember.Member, vm string) bool {
	return firstOf(name, candidates) == vm
}

func firstOf(name string, candidates []drmember.Member) string {
	if r := drmember.Rank(name, candidates); len(r) > 0 {
		return r[0].VM
	}
	return ""
}

func slotName(kind SlotKind, n uint32) string {
	return "slot/" + string(rune('0'+kind)) + "/" + string(rune('0'+n))
}
