package drproxy

import (
	"io"
	"runtime"
)

// freeTurnBytes is how many bytes of a body each request may process without a turn.
const freeTurnBytes = 16 << 10

// turns bounds how many long bodies are processed at a time, so that half of the
// processors remain for everything else: a body whose bytes come faster than they can be
// decoded would keep one busy, and a VM reads hundreds. It is safe for concurrent use.
type turns chan struct{}

func newTurns() turns { return make(turns, max(1, runtime.GOMAXPROCS(0)/2)) }

// turn is the part of one body in turns. A nil turn reads without bound. One goroutine uses
// it.
type turn struct {
	turns turns
	read  int // bytes
	taken bool
}

// readFrom reads from a connection, and then waits for a turn to process what it has read.
// The turn lasts until the next call or until end.
func (t *turn) readFrom(conn io.Reader, p []byte) (int, error) {
	if t == nil {
		return conn.Read(p)
	}
	t.end()
	n, err := conn.Read(p)
	if t.read += n; t.read > freeTurnBytes {
		t.turns <- struct{}{}
		t.taken = true
	}
	return n, err
}

// end gives the turn back.
func (t *turn) end() {
	if t.taken {
		<-t.turns
		t.taken = false
	}
}
