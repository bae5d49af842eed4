package drcontroller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// slowLink is a link that sends pieces one after another, in bytes a second.
type slowLink struct {
	clock *drclock.Fake
	queue *pieceQueue
	rate  float64
	// latency is what a VM takes for its next report beside the time on the link.
	latency time.Duration
	// freeAt is the uptime at which all that was sent has left, and arrivals holds when
	// the piece of each VM arrives.
	freeAt   time.Duration
	arrivals map[string]time.Duration
	// longest is the longest time that a piece, and so a renewal behind it, has waited.
	longest time.Duration
}

func (l *slowLink) send(vm string, size int) {
	now := l.clock.Uptime()
	l.freeAt = max(l.freeAt, now) + time.Duration(float64(size)/l.rate*float64(time.Second))
	l.longest = max(l.longest, l.freeAt-now)
	l.arrivals[vm] = l.freeAt + l.latency
	l.queue.sending(vm, tablePosition{}, size)
}

// sendTables sends tables of a number of pieces to VMs that all ask at once, each
// interval again while they wait. It returns when each VM had its table.
func (l *slowLink) sendTables(vms, pieces int) map[string]time.Duration {
	left, done := make(map[string]int), make(map[string]time.Duration)
	for i := range vms {
		left[fmt.Sprint("vm-", i)] = pieces
	}
	for len(done) < vms {
		for i := range vms {
			l.visit(fmt.Sprint("vm-", i), left, done)
		}
		l.clock.Advance(5 * time.Millisecond)
	}
	return done
}

// visit lets a VM report that its last piece has arrived, or that it waits for one.
func (l *slowLink) visit(vm string, left map[string]int, done map[string]time.Duration) {
	at, sent := l.arrivals[vm]
	if _, ended := done[vm]; ended || sent && l.clock.Uptime() < at {
		return
	}
	if left[vm] == 0 {
		l.queue.complete(vm)
		done[vm] = at
		return
	}
	if l.queue.admit(vm, tablePosition{nextBucket: uint32(1000 - left[vm])}) {
		left[vm]--
		l.send(vm, maxPieceBytes)
	}
}

func newSlowLink(rate float64) *slowLink {
	clock := drclock.NewFake(time.Unix(0, 0))
	return &slowLink{clock: clock, queue: newPieceQueue(clock), rate: rate, arrivals: make(map[string]time.Duration)}
}

// Guards against a controller that loses its lease because renewals wait behind pieces of
// the table for all VMs: 300 VMs and 3,000 runners lost ten controllers in 17 s so.
func TestPiecesLeaveRoomForRenewals(t *testing.T) {
	for _, rate := range []float64{1.25e6, 25e6} { // 10 and 200 Mbit/s
		is := is.New(t)
		l := newSlowLink(rate)
		done := l.sendTables(100, 8)
		is.True(l.longest < renewInterval)
		var last time.Duration
		for _, at := range done {
			last = max(last, at)
		}
		least := time.Duration(100 * 8 * maxPieceBytes / rate * float64(time.Second))
		is.True(last < 3*least/2+time.Second) // the link is used nevertheless
	}
}

// Guards against a window that never grows, or shrinks to the least one, because VMs are far
// away or weak and take long for their next report whatever is on the link.
func TestSlowVMsDoNotNarrowTheWindow(t *testing.T) {
	for _, latency := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 450 * time.Millisecond} {
		is := is.New(t)
		l := newSlowLink(25e6)
		l.latency = latency
		var last time.Duration
		for _, at := range l.sendTables(300, 8) {
			last = max(last, at)
		}
		t.Logf("latency %v: the last table after %v", latency, last)
		is.True(last < 100*latency) // 300 of them, if the window kept 8 of the 2,400 pieces on their way
		is.True(l.longest < renewInterval)
	}
}

// Guards against a large fleet that gets its tables over several seconds although the
// controller's link carries them in less than two.
func TestFastLinkIsFilledSoon(t *testing.T) {
	is := is.New(t)
	l := newSlowLink(25e6)
	l.latency = 75 * time.Millisecond
	last := slices.Max(slices.Collect(maps.Values(l.sendTables(300, 8))))
	t.Logf("the last table after %v", last)
	is.True(last < 3*time.Second)
	is.True(l.longest < renewInterval)
}

// Guards against VMs that all get their tables late because all get pieces in turn.
func TestBegunTableIsFinishedFirst(t *testing.T) {
	is := is.New(t)
	l := newSlowLink(1.25e6)
	var ends []time.Duration
	for _, at := range l.sendTables(100, 8) {
		ends = append(ends, at)
	}
	slices.Sort(ends)
	is.True(ends[len(ends)/2] < 6*ends[len(ends)-1]/10)
}

// Guards against a VM that waits in vain while others come.
func TestLongestWaitingVMIsNext(t *testing.T) {
	is := is.New(t)
	q := newPieceQueue(drclock.NewFake(time.Unix(0, 0)))
	first := firstWindow / maxPieceBytes
	for i := range first {
		is.True(q.admit(fmt.Sprint("early-", i), tablePosition{}))
	}
	is.True(!q.admit("waits", tablePosition{}))
	is.True(!q.admit("later", tablePosition{}))
	is.Equal(q.complete("early-0"), []string{"waits"})
	is.True(!q.admit("later", tablePosition{}))
	is.True(q.admit("waits", tablePosition{}))
}

// Guards against a fleet whose tables are small and wait for each other.
func TestSmallTablesDoNotWait(t *testing.T) {
	is := is.New(t)
	q := newPieceQueue(drclock.NewFake(time.Unix(0, 0)))
	for i := range 50 {
		vm := fmt.Sprint("vm-", i)
		is.True(q.admit(vm, tablePosition{}))
		q.sending(vm, tablePosition{}, 2<<10)
	}
}

// Guards against a link that fills with pieces which a VM has given up: requests that begin
// to wait may have its reports sent anew faster than pieces arrive. They are no quick answers
// either.
func TestGivenUpPiecesAreNoAnswers(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	q := newPieceQueue(clock)
	pieces := 0
	for range 50 {
		if q.admit("impatient", tablePosition{}) {
			q.sending("impatient", tablePosition{}, maxPieceBytes)
			pieces++
		}
		clock.Advance(10 * time.Millisecond)
	}
	is.Equal(pieces, firstWindow/maxPieceBytes)
	is.Equal(q.window.bytes, firstWindow)
	clock.Advance(lostPiece)
	is.True(q.admit("impatient", tablePosition{}))
}

// Guards against VMs that are lost with pieces on their way, or while they wait, and keep
// the others from their tables.
func TestLostVMsFreeTheirPlaces(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	q := newPieceQueue(clock)
	for i := range firstWindow / maxPieceBytes {
		vm := fmt.Sprint("lost-", i)
		is.True(q.admit(vm, tablePosition{}))
		q.sending(vm, tablePosition{}, maxPieceBytes)
	}
	is.True(!q.admit("lost", tablePosition{}))
	clock.Advance(forgetWaiting)
	is.True(q.admit("vm", tablePosition{}))
}
