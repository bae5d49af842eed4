package drloghandler_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drloghandler"
)

// stalledWriter is an output whose writes block until the channel release is closed,
// like a pipe whose reader does not read. It keeps what was written.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// newLogger returns a logger that passes lines from level info up to the handler.
func newLogger(h log.Handler) *log.Logger { return &log.Logger{Handler: h, Level: log.InfoLevel} }

// Guards against requests that block because the output of the log blocks, as when the
// reader of a pipe stops reading.
func TestStalledReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &stalledWriter{release: make(chan struct{})}
	clock := drclock.NewFake(time.Unix(0, 0))
	h := drloghandler.New(drloghandler.Config{Out: out, Clock: clock})
	logger := newLogger(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			logger.WithField("event", "x").Info("")
			clock.Advance(10 * time.Millisecond) // within the permitted rate
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	is.True(h.Dropped() > 0)
	close(out.release)
	h.Close(time.Second)
	is.True(strings.Contains(out.String(), "event=log-lines-dropped"))
}

// Guards against a log volume that grows without bound with the number of requests,
// and against warnings that are dropped because info lines have used up the rate.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	out := &stalledWriter{release: make(chan struct{})}
	close(out.release)
	clock := drclock.NewFake(time.Unix(0, 0))
	h := drloghandler.New(drloghandler.Config{Out: out, Clock: clock})
	logger := newLogger(h)
	for range 900 {
		logger.WithField("event", "request").Info("")
	}
	logger.WithField("event", "store-lost").Warn("")
	h.Close(time.Second)
	is.True(strings.Count(out.String(), "event=request") <= 600)
	is.True(strings.Contains(out.String(), "event=store-lost"))
}

// Guards against values with spaces, quotes or the like that a parser of key=value
// pairs would not read as one value.
func ExampleLine() {
	entry := &log.Entry{Timestamp: time.Unix(0, 0), Level: log.InfoLevel, Fields: log.Fields{"event": "stop", "why": `said "no"`}}
	fmt.Println(drloghandler.Line(entry))
	// Output: time=1970-01-01T00:00:00Z level=info event=stop why="said \"no\""
}
