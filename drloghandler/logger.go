// Package drloghandler writes log lines without ever blocking the code that logs.
// Lines that exceed the permitted rate, or for which the output is too slow, are
// dropped and counted.
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
	// maxQueuedLines bounds the memory of the lines that wait for the output.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines are the rate and the capacity of the token
	// bucket that bounds the volume of the log. Warnings and errors may overdraw the
	// bucket by reservedLines.
	linesPerSecond = 200.0
	burstLines     = 600.0
	reservedLines  = 200.0
)

// Config holds the parameters of a Handler.
type Config struct {
	// Out receives the lines. Its writes may block; they are made by one goroutine.
	Out io.Writer
	// Clock measures the rate of lines and the time that Close waits.
	Clock drclock.Clock
}

// Handler is a log.Handler that writes one line of key=value pairs for each log entry.
// It is safe for concurrent use.
type Handler struct {
	config  Config
	lines   chan string
	dropped atomic.Int64
	done    chan struct{}

	mu             sync.Mutex
	availableLines float64 // tokens in the bucket; negative while overdrawn
	lastRefill     time.Time
	closed         bool
}

// New returns a Handler and starts its writing goroutine, which runs until Close.
func New(config Config) *Handler {
	h := &Handler{
		config: config, lines: make(chan string, maxQueuedLines), done: make(chan struct{}),
		availableLines: burstLines, lastRefill: config.Clock.Now(),
	}
	go h.writeLines()
	return h
}

// HandleLog implements log.Handler. It never blocks on the output and always returns
// nil. If the entry cannot be queued, it is dropped and counted.
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

// allow takes a token for one line from the token bucket and reports whether there was
// one. An urgent line, which is a warning or an error, may overdraw the bucket by
// reservedLines. The caller must hold mu.
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

// Dropped returns the number of lines that were dropped because of the rate, a full
// queue, a failed write or a closed handler.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

// writeLines writes the queued lines to the output until Close. If lines were dropped
// since the last such event, it adds an event log-lines-dropped after the line.
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

// Close stops the handler and waits up to timeout until the queued lines are written.
// Later log entries are dropped. Close may be called more than once.
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

// Line formats a log entry as key=value pairs: time, level, event, the other fields in
// alphabetical order, and message if it is not empty.
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

// quote returns value, quoted in Go syntax if it is empty or contains a space, a tab,
// a line break, a double quote or "=", so that it reads as one value.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=\n\t\r") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
