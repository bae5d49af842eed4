package drproxy

import (
	"bufio"
	"errors"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drnet"
)

// floodConn carries bytes as fast as they are read, until stalled is closed or, if that is
// nil, without end.
type floodConn struct {
	drnet.Conn
	left    int // before the stall
	stalled chan struct{}
}

func (c *floodConn) Read(p []byte) (int, error) {
	if c.left -= len(p); c.left < 0 && c.stalled != nil {
		<-c.stalled
		return 0, io.EOF
	}
	return len(p), nil
}

// countedReader counts the long bodies that are processed at a time.
type countedReader struct {
	io.Reader
	read      int
	now, most *atomic.Int64
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.read += n; r.read > freeTurnBytes+readBuffer {
		now := r.now.Add(1)
		for most := r.most.Load(); now > most && !r.most.CompareAndSwap(most, now); most = r.most.Load() {
		}
		runtime.Gosched()
		r.now.Add(-1)
	}
	return n, err
}

// Guards against a VM that serves nothing else while many connections carry bytes faster
// than it decodes them, and against bodies that keep others waiting while their own bytes
// fail to come.
func TestLongBodiesTakeTurns(t *testing.T) {
	is := is.New(t)
	const bodies, limit = 20, 512 << 10
	s := newOrderWorld(1).server
	var now, most atomic.Int64
	read := func(conn *floodConn) error {
		u := &upstream{Conn: conn}
		r := &countedReader{Reader: bufio.NewReaderSize(u, readBuffer), now: &now, most: &most}
		x := &exchange{server: s}
		defer x.releaseMemory()
		_, err := x.readAll(r, &u.turn, limit, errAnswerTooLarge)
		return err
	}
	var stalled, flooding sync.WaitGroup
	end := make(chan struct{})
	for range bodies {
		stalled.Go(func() { _ = read(&floodConn{left: limit / 2, stalled: end}) })
	}
	var failed atomic.Int64
	for range bodies {
		flooding.Go(func() {
			if !errors.Is(read(&floodConn{}), errAnswerTooLarge) {
				failed.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		flooding.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("stalled bodies keep the turns")
	}
	close(end)
	stalled.Wait()
	is.Equal(failed.Load(), int64(0))
	is.True(most.Load() > 0)
	is.True(most.Load() <= int64(max(1, runtime.GOMAXPROCS(0)/2)))
	is.Equal(len(s.turns), 0) // all were given back
}
