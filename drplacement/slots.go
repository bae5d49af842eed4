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

// Slots limits concurrent loads from the weight store. Each slot is held by an
// entry VM, which lends it to one load at a time. While the log is down, slots
// keep their holders, which go on lending them.
type Slots struct {
	placement  *Placement
	mu         sync.Mutex
	slotStates map[slotKey]*slotState
	freed      chan struct{} // closed when a loan is returned, and replaced
	lastLoanID uint64        // starts at a random number
	goroutines sync.WaitGroup
	// unknownSince holds the time at which a holder was first seen to be
	// unknown to this VM. It is used only by the goroutine of run.
	unknownSince map[string]time.Time
}

// slotState is the lending state of one slot, kept by its holder.
type slotState struct {
	slotOffset uint64 // Slot.Offset of the holding that this state belongs to
	loanID     uint64 // 0 before the first loan and after a return
	loanEnd    time.Time
	nextLoanAt time.Time // earliest start of the next loan
}

func newSlots(placement *Placement) *Slots {
	return &Slots{placement: placement, slotStates: make(map[slotKey]*slotState), freed: make(chan struct{}), lastLoanID: rand.Uint64() >> 1, unknownSince: make(map[string]time.Time)}
}

// loanDuration returns how long a loan runs unless it is renewed.
func (s SlotKind) loanDuration() time.Duration {
	if s == AdapterSlot {
		return adapterLoanDuration
	}
	return loadLoanDuration
}

// run claims slots whose holder is gone, and slots of a holder that has more
// than its share because it started first.
func (s *Slots) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.reconcile(ctx)
		if s.placement.Clock.Sleep(ctx, s.reconcilePause()) != nil {
			return
		}
	}
}

// reconcilePause returns the time to the next check. The pause is short until
// all slots are held, because no model can be loaded from the weight store
// without a slot.
func (s *Slots) reconcilePause() time.Duration {
	for kind := range slotKinds {
		if len(s.placement.Ledger.Slots(kind)) < int(kind.count()) {
			return slotStartupPause
		}
	}
	return tick
}

// reconcile claims the slots that this VM should hold but does not. It does
// nothing while the log is down.
func (s *Slots) reconcile(ctx context.Context) {
	self := s.placement.View.Self()
	candidates := s.placement.View.Candidates()
	if s.placement.logDown() || len(candidates) == 0 {
		return
	}
	alive := make(drcollection.Set[string], len(candidates))
	for _, m := range candidates {
		alive.Add(m.VM)
	}
	vms := newVMStates(s.placement.View)
	for kind := range slotKinds {
		held := make(map[uint32]Slot)
		for _, slot := range s.placement.Ledger.Slots(kind) {
			held[slot.Number] = slot
			if slot.VM == self.VM {
				s.startHolding(slot)
			}
		}
		share := (int(kind.count()) + len(candidates) - 1) / len(candidates)
		surplus := surplusSlots(held, share, func(n uint32) string { return firstRanked(slotName(kind, n), candidates) })
		for n := range kind.count() {
			slot := held[n]
			restarted := slot.VM == self.VM && slot.Incarnation != self.Incarnation
			kept := (alive.Has(slot.VM) || s.awaitingDiscovery(slot.VM, vms)) && (!surplus.Has(n) || slot.VM == self.VM) && !restarted
			if kept || !restarted && !ranksFirst(slotName(kind, n), candidates, self.VM) {
				continue
			}
			s.claim(ctx, kind, n, slot.Offset)
		}
	}
}

// awaitingDiscovery reports whether a holder is neither present nor known to
// have failed, and may merely not be discovered yet, because this VM has just
// started. After claimDelay such a holder counts as gone.
func (s *Slots) awaitingDiscovery(vm string, vms vmStates) bool {
	if vm == "" || vms.present.Has(vm) || vms.failed(vm) {
		delete(s.unknownSince, vm)
		return false
	}
	since, known := s.unknownSince[vm]
	if !known {
		since = s.placement.Clock.Now()
		s.unknownSince[vm] = since
	}
	return s.placement.Clock.Since(since) < claimDelay
}

// surplusSlots returns the slots that move to other VMs because their holder
// has more than its share. A holder keeps as many slots as its share, because
// the new holder of a slot waits for loans of the earlier one: if all slots
// moved at once, no load could begin for seconds.
func surplusSlots(held map[uint32]Slot, share int, firstRankedVM func(n uint32) string) drcollection.Set[uint32] {
	holds := make(map[string]int)
	for _, slot := range held {
		holds[slot.VM]++
	}
	surplus := make(drcollection.Set[uint32])
	for _, n := range slices.Sorted(maps.Keys(held)) {
		if vm := held[n].VM; holds[vm] > share && firstRankedVM(n) != vm {
			surplus.Add(n)
			holds[vm]--
		}
	}
	return surplus
}

// claim appends a record that makes this VM the holder of a slot.
func (s *Slots) claim(ctx context.Context, kind SlotKind, number uint32, basedOn uint64) {
	self := s.placement.View.Self()
	// A failed append is repeated after the next pause. The fold accepts only
	// one claim based on the same holding.
	_, _ = s.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Slot{Slot: &drpb.PlacementSlot{
		Kind: uint32(kind), Number: number, Vm: self.VM, Incarnation: self.Incarnation, BasedOn: basedOn,
	}}})
}

func (s *Slots) handle(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var c drpb.PlacementSlotCall
	if err := proto.Unmarshal(body, &c); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode slot call")
	}
	return s.serve(ctx, &c), nil
}

// serve answers a slot call: it renews or returns the loan that the call names,
// or else lends a slot. It waits up to hold_ms for a free one.
func (s *Slots) serve(ctx context.Context, request *drpb.PlacementSlotCall) *drpb.PlacementSlotReply {
	kind := SlotKind(request.Kind)
	if kind >= slotKinds {
		return &drpb.PlacementSlotReply{WaitMs: uint64(tick.Milliseconds())}
	}
	if request.Loan != 0 {
		return s.renewOrReturn(kind, request)
	}
	end := s.placement.Clock.Now().Add(time.Duration(request.HoldMs) * time.Millisecond)
	for {
		loan, wait, freed := s.lend(kind)
		left := end.Sub(s.placement.Clock.Now())
		if loan != 0 || left <= 0 || ctx.Err() != nil {
			return &drpb.PlacementSlotReply{Granted: loan != 0, Loan: loan, WaitMs: uint64(wait.Milliseconds())}
		}
		t := s.placement.Clock.NewTimer(min(left, max(wait, time.Millisecond)))
		select {
		case <-freed:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// lend lends a free slot that this VM holds. If there is none, it returns the
// time until one may be free, and a channel that is closed when a loan is
// returned.
func (s *Slots) lend(kind SlotKind) (loan uint64, wait time.Duration, freed <-chan struct{}) {
	now, self := s.placement.Clock.Now(), s.placement.View.Self()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = tick
	for _, slot := range s.placement.Ledger.Slots(kind) {
		if slot.VM != self.VM || slot.Incarnation != self.Incarnation {
			continue
		}
		state := s.slotState(slot, now)
		free := state.nextLoanAt
		if state.loanID != 0 && state.loanEnd.After(free) {
			free = state.loanEnd
		}
		if free.After(now) {
			wait = min(wait, free.Sub(now))
			continue
		}
		s.lastLoanID++
		state.loanID, state.loanEnd = s.lastLoanID, now.Add(kind.loanDuration())
		if kind == LoadSlot && s.placement.LoadsPerSecond > 0 {
			// Each slot has an equal share of the rate of the weight store.
			state.nextLoanAt = now.Add(time.Duration(float64(loadSlots) / s.placement.LoadsPerSecond * float64(time.Second)))
		}
		return state.loanID, 0, s.freed
	}
	return 0, wait, s.freed
}

// startHolding creates the state of a slot as soon as this VM holds it, so that
// the waiting time of a new holder does not start only with the first call.
func (s *Slots) startHolding(slot Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotState(slot, s.placement.Clock.Now())
}

// slotState returns the state of a slot that this VM holds. The holder before
// it has not answered for about half the duration of a loan when its slot is
// claimed. The new holder waits for the other half, after which most of the
// earlier loans have ended. The caller holds s.mu.
func (s *Slots) slotState(slot Slot, now time.Time) *slotState {
	k := slotKey{slot.Kind, slot.Number}
	state := s.slotStates[k]
	if state == nil || state.slotOffset != slot.Offset {
		state = &slotState{slotOffset: slot.Offset, nextLoanAt: now}
		if !slot.Clean {
			state.nextLoanAt = now.Add(slot.Kind.loanDuration() / 2)
		}
		s.slotStates[k] = state
	}
	return state
}

// renewOrReturn renews a loan or ends it, as the call asks. The reply is not
// granted if the loan is unknown or was returned.
func (s *Slots) renewOrReturn(kind SlotKind, request *drpb.PlacementSlotCall) *drpb.PlacementSlotReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.slotStates {
		if state.loanID != request.Loan {
			continue
		}
		if request.GiveBack {
			state.loanID, state.loanEnd = 0, time.Time{}
			close(s.freed)
			s.freed = make(chan struct{})
			break
		}
		state.loanEnd = s.placement.Clock.Now().Add(kind.loanDuration())
		return &drpb.PlacementSlotReply{Granted: true, Loan: request.Loan}
	}
	return &drpb.PlacementSlotReply{}
}

// call sends a slot call to a VM. If that is this VM, it calls its own handler
// directly.
func (s *Slots) call(ctx context.Context, vm string, request *drpb.PlacementSlotCall) (*drpb.PlacementSlotReply, error) {
	if vm == s.placement.View.Self().VM {
		return s.serve(ctx, request), nil
	}
	ctx, cancel := s.placement.timeout(ctx, callTimeout)
	defer cancel()
	var r drpb.PlacementSlotReply
	return &r, s.placement.Caller.Call(ctx, vm, methodSlot, request, &r)
}

// acquire borrows a slot and renews the loan until giveBack is called.
// reportWait is called with the expected waiting time each time that no holder
// has lent a slot.
func (s *Slots) acquire(ctx context.Context, kind SlotKind, reportWait func(time.Duration)) (giveBack func(), err error) {
	hold := time.Duration(0)
	for {
		shortest, changed := tick, s.placement.Ledger.Changed()
		for _, vm := range s.holders(kind) {
			r, err := s.call(ctx, vm, &drpb.PlacementSlotCall{Kind: uint32(kind), HoldMs: uint64(hold.Milliseconds())})
			if err == nil && r.Granted {
				return s.renewUntilReturned(ctx, kind, vm, r.Loan), nil
			}
			if err == nil {
				shortest = min(shortest, time.Duration(r.WaitMs)*time.Millisecond)
			}
		}
		reportWait(shortest)
		if hold > 0 && shortest == tick {
			// No holder answers or all slots are lent, so the pause keeps this
			// loop from spinning.
			s.awaitLedgerChange(ctx, changed)
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		hold = slotHold
	}
}

// awaitLedgerChange waits until the ledger changes, for instance because a slot
// gets its first holder, but at most for retryPause.
func (s *Slots) awaitLedgerChange(ctx context.Context, changed <-chan struct{}) {
	t := s.placement.Clock.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C():
	case <-ctx.Done():
	}
}

// holders returns the candidate VMs that hold slots of a kind, in random order,
// so that the calls spread over the holders.
func (s *Slots) holders(kind SlotKind) []string {
	held, vms := make(drcollection.Set[string]), make(drcollection.Set[string])
	for _, slot := range s.placement.Ledger.Slots(kind) {
		held.Add(slot.VM)
	}
	for _, m := range s.placement.View.Candidates() {
		if held.Has(m.VM) {
			vms.Add(m.VM)
		}
	}
	hs := drcollection.Sorted(vms)
	rand.Shuffle(len(hs), func(i, j int) { hs[i], hs[j] = hs[j], hs[i] })
	return hs
}

// renewUntilReturned renews a loan until the returned function is called, and
// then gives it back. A loan whose return is lost expires.
func (s *Slots) renewUntilReturned(ctx context.Context, kind SlotKind, vm string, loan uint64) func() {
	renewing, cancel := context.WithCancel(ctx)
	s.goroutines.Go(func() {
		for s.placement.Clock.Sleep(renewing, kind.loanDuration()/3) == nil {
			_, _ = s.call(renewing, vm, &drpb.PlacementSlotCall{Kind: uint32(kind), Loan: loan})
		}
		_, _ = s.call(context.WithoutCancel(ctx), vm, &drpb.PlacementSlotCall{Kind: uint32(kind), Loan: loan, GiveBack: true})
	})
	return cancel
}

// ranksFirst reports whether a VM ranks first among the candidates for name.
func ranksFirst(name string, candidates []drmember.Member, vm string) bool {
	return firstRanked(name, candidates) == vm
}

// firstRanked returns the VM that ranks first for name, or an empty string if
// there are no candidates.
func firstRanked(name string, candidates []drmember.Member) string {
	if r := drmember.Rank(name, candidates); len(r) > 0 {
		return r[0].VM
	}
	return ""
}

// slotName returns the name under which VMs are ranked for a slot. The digits
// are characters counted from 0, so numbers from 10 on give other characters.
func slotName(kind SlotKind, number uint32) string {
	return "slot/" + string(rune('0'+kind)) + "/" + string(rune('0'+number))
}
