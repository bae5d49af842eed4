package drcontroller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

var pieceOrders = flag.Uint64("piece-orders", 4_000, "number of random orders that TestRandomOrdersOfPieces plays")

// pieceOrder is one random order of what VMs do with a pieceQueue. It keeps its own account of
// what the queue must know.
type pieceOrder struct {
	random *rand.Rand
	clock  *drclock.Fake
	queue  *pieceQueue
	vms    []*orderedVM
	// waiting are the VMs that wait, the longest first.
	waiting []*orderedVM
	faults  []string
}

// orderedVM is a VM of a pieceOrder.
type orderedVM struct {
	name     string
	position tablePosition
	left     int // pieces that it lacks
	seenAt   time.Duration
	// onWay are the bytes that it was sent since its last answer, and sentAt says when the
	// last of them were. A report that was given up leaves a piece that is being made.
	onWay  int
	sentAt time.Duration
	making bool
	// madeAfter is the position for which its last piece is made.
	madeAfter tablePosition
	asked     bool // a piece for its position was sent
	gone      bool
}

func newPieceOrder(seed uint64) *pieceOrder {
	clock := drclock.NewFake(time.Unix(0, 0))
	o := &pieceOrder{random: rand.New(rand.NewPCG(seed, seed)), clock: clock, queue: newPieceQueue(clock)}
	for i := range 2 + o.random.IntN(30) {
		o.vms = append(o.vms, &orderedVM{name: fmt.Sprint("vm-", i), gone: true})
	}
	return o
}

func (o *pieceOrder) fail(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// step lets one VM do something, or time pass.
func (o *pieceOrder) step() {
	v := o.vms[o.random.IntN(len(o.vms))]
	switch o.random.IntN(12) {
	case 0:
		o.clock.Advance(time.Duration(o.random.Int64N(int64(100 * time.Millisecond))))
	case 1:
		if o.random.IntN(8) == 0 {
			o.clock.Advance(time.Duration(o.random.Int64N(int64(3 * time.Second))))
		}
	case 2:
		if o.random.IntN(4) == 0 {
			v.gone = true
		}
	case 3, 4: // it comes, or restarts
		if v.gone || o.random.IntN(8) == 0 {
			v.gone, v.asked, v.position, v.left = false, false, tablePosition{term: 1}, 1+o.random.IntN(5)
		}
	case 5, 6:
		o.make(v)
	case 7: // it gives up its report and asks again
		o.report(v)
	default:
		o.make(v)
		o.answer(v)
	}
}

// make ends the making of a piece, if there is one.
func (o *pieceOrder) make(v *orderedVM) {
	if !v.making {
		return
	}
	size := 1 + o.random.IntN(maxPieceBytes)
	o.queue.sending(v.name, v.madeAfter, size)
	v.making, v.sentAt = false, o.clock.Uptime()
	v.onWay = max(v.onWay-maxPieceBytes, 0) + size // it may count as lost already
}

// answer lets the last piece of a VM arrive, if there is one, and its next report.
func (o *pieceOrder) answer(v *orderedVM) {
	if v.gone || v.making {
		return
	}
	if v.asked {
		v.asked = false
		v.left--
		v.position.nextBucket++
	}
	if v.left > 0 {
		o.report(v)
		return
	}
	o.queue.complete(v.name)
	v.onWay = 0
	v.gone = true
	o.waiting = slices.DeleteFunc(o.waiting, func(w *orderedVM) bool { return w == v })
}

// report lets a VM ask for the piece after its position, and checks the queue's answer.
func (o *pieceOrder) report(v *orderedVM) {
	if v.gone || v.making || v.left == 0 {
		return
	}
	now := o.clock.Uptime()
	o.forget(now)
	continues := v.onWay > 0 && !v.asked && v.position.nextBucket > 0
	if continues {
		v.onWay = 0
	}
	if !slices.Contains(o.waiting, v) {
		o.waiting = append(o.waiting, v)
	}
	v.seenAt = now
	admitted := o.queue.admit(v.name, v.position)
	place, room := slices.Index(o.waiting, v), o.room()
	if admitted != (continues || place < room) {
		o.fail("%v: %s at place %d of %d, room for %d pieces, admitted: %v", now, v.name, place, len(o.waiting), room, admitted)
	}
	if !admitted {
		return
	}
	o.waiting = slices.Delete(o.waiting, place, place+1)
	v.onWay += maxPieceBytes
	v.sentAt, v.making, v.madeAfter, v.asked = now, true, v.position, true
	if o.random.IntN(4) > 0 {
		o.make(v)
	}
}

// forget drops pieces that count as lost, and VMs that wait no more.
func (o *pieceOrder) forget(now time.Duration) {
	for _, v := range o.vms {
		if v.onWay > 0 && now-v.sentAt >= lostPiece {
			v.onWay = 0
		}
	}
	o.waiting = slices.DeleteFunc(o.waiting, func(v *orderedVM) bool { return now-v.seenAt >= forgetWaiting })
}

// room returns how many full pieces fit into the window beside what is on its way.
func (o *pieceOrder) room() int {
	free := o.queue.window.bytes
	for _, v := range o.vms {
		free -= v.onWay
	}
	return max(free, 0) / maxPieceBytes
}

// finish lets all VMs go on without faults. They must all get their tables, and the queue must
// keep nothing of them.
func (o *pieceOrder) finish() {
	present := func(v *orderedVM) bool { return !v.gone }
	for end := o.clock.Uptime() + time.Minute; slices.ContainsFunc(o.vms, present); {
		for _, v := range o.vms {
			o.make(v)
			o.answer(v)
		}
		o.clock.Advance(50 * time.Millisecond)
		if o.clock.Uptime() > end {
			o.fail("VMs without their tables")
			return
		}
	}
	o.clock.Advance(forgetWaiting)
	o.queue.admit("last", tablePosition{})
	o.queue.complete("last")
	if len(o.queue.sent)+len(o.queue.waiting) > 0 {
		o.fail("%v and %v are kept", o.queue.sent, o.queue.waiting)
	}
}

// Guards against orders of events in which a VM gets a piece out of turn or beyond the window,
// is passed over, or is kept in the queue after it has gone.
func TestRandomOrdersOfPieces(t *testing.T) {
	for seed := range *pieceOrders {
		o := newPieceOrder(seed)
		for range 200 {
			o.step()
		}
		o.finish()
		if len(o.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, o.faults[0])
		}
	}
}
