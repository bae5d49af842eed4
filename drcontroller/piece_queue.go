package drcontroller

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// forgetWaiting is the time after its last report after which a VM waits for no piece any
// more. It is above the interval between two reports.
const forgetWaiting = 2 * time.Second

// pieceQueue decides which VMs get a piece of the runner table next. After a change of the
// controller all VMs want the table at once; on a slow link that would delay the renewals of
// the lease until it is lost. So few pieces are on their way at a time, and a VM that has
// begun gets its whole table before others begin. Its memory grows with the VMs. It is safe
// for concurrent use.
type pieceQueue struct {
	clock drclock.Uptime

	mu     sync.Mutex
	window pieceWindow
	// sent holds the last piece of each VM that has not been answered by its next report.
	sent map[string]sentPiece
	// waiting are the VMs that wait for their first piece, the longest first.
	waiting []waitingVM
}

// sentPiece is a piece on its way, or one that is being made, which counts as a full one.
type sentPiece struct {
	at   time.Duration // uptime
	size int           // bytes
	made bool
	// position is how far the VM was when it asked for the piece. It is further once the
	// piece has arrived.
	position tablePosition
	// givenUp are the bytes of the pieces before that were for the same position. The VM
	// reads them no more, but they may still be on their way.
	givenUp int
}

// hasArrived reports whether a VM that asks for the piece after a position has this one. A
// VM that begins anew has lost it.
func (p sentPiece) hasArrived(position tablePosition) bool {
	begins := position.nextBucket == 0 && position.revision == 0
	return position != p.position && !begins
}

type waitingVM struct {
	vm     string
	seenAt time.Duration // uptime of its last report
}

func newPieceQueue(clock drclock.Uptime) *pieceQueue {
	return &pieceQueue{clock: clock, window: newPieceWindow(), sent: make(map[string]sentPiece)}
}

// admit reports whether a VM may have the piece after a position now, for which sending must
// be called then. Otherwise the VM waits, and keeps its place as long as it calls admit
// again. A VM that has given up its last piece, and asks for it again, waits like others.
func (q *pieceQueue) admit(vm string, position tablePosition) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Uptime()
	q.dropLost(now)
	last, sent := q.sent[vm]
	continues := sent && last.hasArrived(position)
	if continues {
		q.answer(vm, now)
		last = sentPiece{}
	}
	place := slices.IndexFunc(q.waiting, func(w waitingVM) bool { return w.vm == vm })
	if place < 0 {
		place = len(q.waiting)
		q.waiting = append(q.waiting, waitingVM{vm: vm})
	}
	q.waiting[place].seenAt = now
	if !continues && place >= q.room() {
		return false
	}
	q.waiting = slices.Delete(q.waiting, place, place+1)
	q.sent[vm] = sentPiece{at: now, size: maxPieceBytes, position: position, givenUp: last.givenUp + last.size}
	return true
}

// sending records that the piece for a VM after a position has been made, and its size in
// bytes. It returns the VMs that may be admitted now.
func (q *pieceQueue) sending(vm string, position tablePosition, size int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, admitted := q.sent[vm]
	if !admitted { // it counts as lost already
		p.position = position
	}
	p.at, p.size, p.made = q.clock.Uptime(), size, true
	q.sent[vm] = p
	return q.next()
}

// complete records that a VM has the whole table. It returns the VMs that may be admitted
// now.
func (q *pieceQueue) complete(vm string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingVM) bool { return w.vm == vm })
	if _, sent := q.sent[vm]; !sent {
		return nil
	}
	q.answer(vm, q.clock.Uptime())
	return q.next()
}

// answer records that a VM has answered its last piece, if there is one, by its next report.
// The caller holds mu.
func (q *pieceQueue) answer(vm string, now time.Duration) {
	if p, ok := q.sent[vm]; ok && p.made {
		q.window.record(now, now-p.at, p.size)
	}
	delete(q.sent, vm)
}

// dropLost forgets pieces that were not answered in time, and VMs that wait no more. The
// caller holds mu.
func (q *pieceQueue) dropLost(now time.Duration) {
	for vm, p := range q.sent {
		if now-p.at < lostPiece {
			continue
		}
		if p.made {
			q.window.narrow(now)
		}
		delete(q.sent, vm)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingVM) bool { return now-w.seenAt >= forgetWaiting })
}

// room returns for how many further pieces there is room. The caller holds mu.
func (q *pieceQueue) room() int {
	free := q.window.bytes
	for _, p := range q.sent {
		free -= p.size + p.givenUp
	}
	return max(free, 0) / maxPieceBytes
}

// next returns the VMs that may be admitted now. The caller holds mu.
func (q *pieceQueue) next() []string {
	var vms []string
	for _, w := range q.waiting[:min(q.room(), len(q.waiting))] {
		vms = append(vms, w.vm)
	}
	return vms
}
