package drproxy

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

const (
	// firstEventFactor is how many times its objective a resumable stream may take
	// to its first event before another runner is tried.
	firstEventFactor = 4
	// gapFactor is how many times the longest permitted pause a resumable
	// stream may be silent before it goes on at another runner.
	gapFactor = 2
	// maxEventBytes bounds one event, in bytes.
	maxEventBytes = 1 << 20
)

// stream is the answer to a client that is passed on event by event.
type stream struct {
	exchange *exchange
	// lastEvent is the id of the last event that the client has.
	lastEvent        int
	events           int
	started          bool // the header has been sent
	chunks           io.WriteCloser
	timeToFirstEvent time.Duration // time to the first event
}

// serveStream forwards a request whose answer is a series of events. A
// resumable stream goes on at another runner if its runner breaks off.
func (x *exchange) serveStream() {
	state := newRetryState()
	st := &stream{exchange: x, lastEvent: x.call.LastEvent}
	for {
		a := x.nextStream(state, st)
		if a == nil {
			return
		}
		if code := a.header.StatusCode(); code != fasthttp.StatusOK {
			if x.handleNonStream(state, st, a) {
				return
			}
			continue
		}
		err := st.relay(state, a)
		switch {
		case err == nil:
			st.recordServed(a)
			return
		case errors.Is(err, errClientGone):
			x.handleClientGone()
			return
		}
		state.lastErr = err
		log.WithFields(log.Fields{"event": "stream-broken", "request-id": x.call.ID, "runner": a.runner.ID,
			"last-event": st.lastEvent, "events": st.events}).WithError(err).Warn("")
		if !x.tryRetry(state) {
			st.abort(state)
			return
		}
	}
}

// nextStream sends the request on. Once the client has the header, a failure
// can only end its connection.
func (x *exchange) nextStream(state *retryState, st *stream) *attempt {
	firstEventTimeout := time.Duration(0)
	if x.firstByteTimeout(state) > 0 {
		firstEventTimeout = firstEventFactor * x.route.Objective
	}
	return x.nextAttempt(state, st.lastEvent, firstEventTimeout, func(response refusal) {
		if st.started {
			state.lastErr = errors.Join(state.lastErr, errors.New(cmp.Or(response.reason, "no further attempt")))
			st.abort(state)
			return
		}
		x.failRequest(state, response)
	})
}

// handleNonStream handles an answer that is no stream. It reports whether the
// client has been answered.
func (x *exchange) handleNonStream(state *retryState, st *stream, a *attempt) bool {
	p, err := a.readPlain()
	if errors.Is(err, errClientGone) {
		x.handleClientGone()
		return true
	}
	state.lastErr = err
	if x.tryRetry(state) {
		return false
	}
	switch {
	case st.started:
		st.abort(state)
	case err != nil:
		x.failRequest(state, refusal{})
	default:
		x.deliver(p)
	}
	return true
}

// canFailOver reports whether a runner can go on with the stream on a new
// connection.
func (st *stream) canFailOver(state *retryState) bool {
	x := st.exchange
	if !x.mayRetry(state) || !x.server.Budgets.Of(x.service.Name).Left() {
		return false
	}
	return drbalancer.Choose(x.balancerRequest(state.tried), x.server.View.Candidates(x.replica()), true) != nil
}

// relay passes events on until the stream's end. A runner that is silent is
// given up only if the stream can go on: it may be merely slow.
func (st *stream) relay(state *retryState, a *attempt) error {
	x := st.exchange
	r := bufio.NewReaderSize(a.body(), readBuffer)
	setDeadline := func() {
		limit := x.timeoutAt
		if x.mayRetry(state) {
			limit = earlier(limit, time.Now().Add(st.eventTimeout()))
		}
		_ = a.upstream.SetReadDeadline(limit)
	}
	a.upstream.extendDeadline = func() bool {
		if x.remaining() <= 0 || st.canFailOver(state) {
			return false
		}
		setDeadline()
		return true
	}
	defer func() { a.upstream.extendDeadline = nil }()
	for {
		setDeadline()
		event, err := readEvent(r)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return st.complete(a)
		}
		if err != nil {
			return a.fail(err)
		}
		id, ok := eventID(event)
		if ok && id <= st.lastEvent {
			continue // the client has it from an earlier runner
		}
		if err := st.sendEvent(a, event); err != nil {
			a.end(drfleetview.Abandoned)
			return errClientGone
		}
		if ok {
			st.lastEvent = id
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// eventTimeout returns how long the runner may take to the next event.
func (st *stream) eventTimeout() time.Duration {
	if st.events == 0 {
		return firstEventFactor * st.exchange.route.Objective
	}
	return gapFactor * max(st.exchange.route.GapObjective, time.Second/gapFactor)
}

// readEvent reads one event with the empty line that ends it. At the end of
// the stream it returns io.EOF and nothing; an event that is cut off gives
// io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, fmt.Errorf("an event exceeds %d bytes", maxEventBytes)
		}
	}
}

// eventID returns the id of an event.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(v)))
			return id, err == nil
		}
	}
	return 0, false
}

// sendEvent sends an event to the client, the header before the first one.
func (st *stream) sendEvent(a *attempt, event []byte) error {
	x := st.exchange
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := st.sendHeader(a); err != nil {
		return err
	}
	if st.events == 0 {
		st.timeToFirstEvent = x.server.Clock.Since(x.start)
	}
	st.events++
	if _, err := st.chunks.Write(event); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// sendHeader sends the header once.
func (st *stream) sendHeader(a *attempt) error {
	if st.started {
		return nil
	}
	x := st.exchange
	var h fasthttp.ResponseHeader
	a.header.CopyTo(&h)
	x.server.Wire.Deliver(&h)
	h.SetNoDefaultContentType(true)
	h.ResetConnectionClose()
	h.SetContentLength(chunkedLength)
	x.setConnectionHeader(&h)
	if _, err := h.WriteTo(x.conn.writer); err != nil {
		return err
	}
	st.started = true
	st.chunks = httputil.NewChunkedWriter(x.conn.writer)
	return nil
}

// complete ends the client's answer after the last event.
func (st *stream) complete(a *attempt) error {
	x := st.exchange
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := st.sendHeader(a)
	if err == nil {
		err = st.chunks.Close()
	}
	if err == nil {
		_, err = x.conn.writer.WriteString("\r\n")
	}
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if a.header.ContentLength() == untilCloseLength {
		a.end(drfleetview.Succeeded)
	} else {
		a.finish(drfleetview.Succeeded)
	}
	if err != nil {
		return errClientGone
	}
	return nil
}

func (st *stream) recordServed(a *attempt) {
	x := st.exchange
	x.server.Metrics.Observe(drmetric.TimeToFirstToken, st.timeToFirstEvent)
	x.recordServed(a.header.StatusCode(), log.Fields{"events": st.events, "first": st.timeToFirstEvent.Round(time.Millisecond)})
}

// abort ends a stream that cannot be finished. After the header only a closed
// connection tells the client so.
func (st *stream) abort(state *retryState) {
	x := st.exchange
	if !st.started {
		x.failRequest(state, refusal{})
		return
	}
	x.keepAlive = false
	detail := ""
	if state.lastErr != nil {
		detail = state.lastErr.Error()
	}
	x.logEnd("stream-aborted", fasthttp.StatusOK, log.Fields{"detail": detail, "events": st.events, "last-event": st.lastEvent})
}
