package drcontroller

import "time"

const (
	// firstWindow is how many bytes of pieces a controller has on their way at first, and
	// minWindow and maxWindow bound what it learns from the times that they take.
	firstWindow = 8 * maxPieceBytes
	minWindow   = 4 * maxPieceBytes
	maxWindow   = 256 * maxPieceBytes
	// A piece that is answered within quickPiece beyond the least time of an answer leaves
	// room on the link for more of them. One that takes slowPiece beyond it delays renewals
	// of the lease and other replies.
	quickPiece = 150 * time.Millisecond
	slowPiece  = 400 * time.Millisecond
	// lostPiece is the time after which a piece that was not answered counts as lost.
	lostPiece = time.Second
)

// pieceWindow says how many bytes of pieces may be on their way at once. It follows the link
// of the VM, which is not known.
type pieceWindow struct {
	bytes int
	// narrowedAt is the uptime at which the window last became smaller.
	narrowedAt time.Duration
	// queued is set once a piece has waited for others on the link. The window grows fast
	// before.
	queued bool
	// least is the shortest time of an answer, 0 before the first one: what VMs need for it
	// if no other piece is on the link.
	least time.Duration
}

func newPieceWindow() pieceWindow { return pieceWindow{bytes: firstWindow} }

// record notes that a piece of a size was answered after a time.
func (w *pieceWindow) record(now, took time.Duration, size int) {
	if w.least == 0 || took < w.least {
		w.least = took
	}
	switch waited := took - w.least; {
	case waited < quickPiece && !w.queued:
		w.bytes = min(w.bytes+size, maxWindow) // twice as many a round
	case waited < quickPiece:
		w.bytes = min(w.bytes+size*maxPieceBytes/w.bytes, maxWindow) // one more piece a round
	case !w.queued:
		w.queued, w.bytes = true, max(w.bytes/2, firstWindow) // the last round doubled it
	case waited >= slowPiece:
		w.narrow(now)
	}
}

// narrow halves the window, at most once for the pieces of about one round.
func (w *pieceWindow) narrow(now time.Duration) {
	w.queued = true
	if now-w.narrowedAt >= slowPiece {
		w.bytes, w.narrowedAt = max(w.bytes/2, minWindow), now
	}
}
