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
	// maxQueuedLines bounds the memory of lines that wait for the reader.
	maxQueuedLines = 1024
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

	mu             sync.Mutex
	availableLines float64
	lastRefill     time.Time
	closed         bool
}

// New returns a Handler. Close flushes it.
func New(config Config) *Handler {
	h := &Handler{
		config: config, lines: make(chan string, maxQueuedLines), done: make(chan struct{}),
		availableLines: burstLines, lastRefill: config.Clock.Now(),
	}
	go h.writeLines()
	return h
}

// HandleLog implements log.Handler. It never fails and never waits.
func (h *Handler) HandleLog(entry *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.allow(entry.Level >= log.WarnLevel) {
		h.dropped.Add(1)
		return nil
	}
	select {
	case h.lines <- Line(entry):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// allow takes a line from the rate. Warnings may overdraw it.
func (h *Handler) allow(urgent bool) bool {
	now := h.config.Clock.Now()
	h.availableLines = min(h.availableLines+now.Sub(h.lastRefill).Seconds()*linesPerSecond, burstLines)
	h.lastRefill = now
	minimum := 0.0
	if urgent {
		minimum = -reservedLines
	}
	if h.availableLines-1 < minimum {
		return false
	}
	h.availableLines--
	return true
}

// Dropped returns the number of lines that were not written.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

// writeLines copies lines to the output, with a note of what was dropped before.
func (h *Handler) writeLines() {
	defer close(h.done)
	reported := int64(0)
	for line := range h.lines {
		if dropped := h.dropped.Load(); dropped > reported {
			line = fmt.Sprintf("%s\nevent=log-lines-dropped count=%d total=%d", line, dropped-reported, dropped)
			reported = dropped
		}
		if _, err := io.WriteString(h.config.Out, line+"\n"); err != nil {
			h.dropped.Add(1)
		}
	}
}

// Close ends the handler and waits up to limit for the queued lines.
func (h *Handler) Close(timeout time.Duration) {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		close(h.lines)
	}
	h.mu.Unlock()
	timer := h.config.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-h.done:
	case <-timer.C():
	}
}

// Line renders an entry as key=value pairs, the event first, the other fields
// in alphabetical order.
func Line(entry *log.Entry) string {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s level=%s", entry.Timestamp.UTC().Format(time.RFC3339Nano), entry.Level)
	names := entry.Fields.Names()
	slices.Sort(names)
	if slices.Contains(names, "event") {
		fmt.Fprintf(&b, " event=%s", quote(fmt.Sprint(entry.Fields.Get("event"))))
	}
	for _, name := range names {
		if name != "event" {
			fmt.Fprintf(&b, " %s=%s", name, quote(fmt.Sprint(entry.Fields.Get(name))))
		}
	}
	if entry.Message != "" {
		fmt.Fprintf(&b, " message=%s", quote(entry.Message))
	}
	return b.String()
}

// quote quotes values that would not read back as one value.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=\n\t\r") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
