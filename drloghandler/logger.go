// Package drloghandler writes log lines without ever blocking the caller. Lines that
// the reader of the output is too slow for, or that exceed the permitted rate,
// are dropped and counted.
package drloghandler

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// queuedLines bounds the memory of lines that wait for the reader.
	queuedLines = 1024
	// linesPerSecond and burstLines bound the volume of the log; warnings and
	// errors may use reservedLines more.
	linesPerSecond = 200.0
	burstLines     = 600.0
	reservedLines  = 200.0
)

// Config configures a Handler.
type Config struct {
	Out   io.Writer
	Clock drclock.Clock
}

// Handler is a log.Handler that writes one line of key=value pairs for each
// event. It is safe for concurrent use.
type Handler struct {
	config  Config
	lines   chan string
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	level  float64
	last   time.Time
	closed bool
}

// New returns a Handler. Close flushes it.
func New(c Config) *Handler {
	h := &Handler{
		config: c, lines: make(chan string, queuedLines), done: make(chan struct{}),
		level: burstLines, last: c.Clock.Now(),
	}
	go h.write()
	return h
}

// HandleLog implements log.Handler. It never fails and never waits.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.admit(e.Level >= log.WarnLevel) {
		h.dropped.Add(1)
		return nil
	}
	select {
	case h.lines <- Line(e):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// admit takes a line from the rate. Warnings may overdraw it.
func (h *Handler) admit(urgent bool) bool {
	now := h.config.Clock.Now()
	h.level = min(h.level+now.Sub(h.last).Seconds()*linesPerSecond, burstLines)
	h.last = now
	floor := 0.0
	if urgent {
		floor = -reservedLines
	}
	if h.level-1 < floor {
		return false
	}
	h.level--
	return true
}

// Dropped returns the number of lines that were not written.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

// write copies lines to the output, with a note of what was dropped before.
func (h *Handler) write() {
	defer close(h.done)
	noted := int64(0)
	for l := range h.lines {
		if n := h.dropped.Load(); n > noted {
			l = fmt.Sprintf("%s\nevent=log-lines-dropped count=%d total=%d", l, n-noted, n)
			noted = n
		}
		if _, err := io.WriteString(h.config.Out, l+"\n"); err != nil {
			h.dropped.Add(1)
		}
	}
}

// Close ends the handler and waits up to limit for the queued lines.
func (h *Handler) Close(limit time.Duration) {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		close(h.lines)
	}
	h.mu.Unlock()
	t := h.config.Clock.NewTimer(limit)
	defer t.Stop()
	select {
	case <-h.done:
	case <-t.C():
	}
}

// Line renders an entry as key=value pairs, the event first, the other fields
// in alphabetical order.
func Line(e *log.Entry) string {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s level=%s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level)
	names := e.Fields.Names()
	slices.Sort(names)
	if slices.Contains(names, "event") {
		fmt.Fprintf(&b, " event=%s", quote(fmt.Sprint(e.Fields.Get("event"))))
	}
	for _, n := range names {
		if n != "event" {
			fmt.Fprintf(&b, " %s=%s", n, quote(fmt.Sprint(e.Fields.Get(n))))
		}
	}
	if e.Message != "" {
		fmt.Fprintf(&b, " message=%s", quote(e.Message))
	}
	return b.String()
}

// quote quotes values that would not read back as one value.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \"=\n\t\r") {
		return fmt.Sprintf("%q", s)
	}
	return s
}
