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

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

const (
	// firstEventFactor times the route's objective is how long a resumable
	// stream may take to its first event before another runner is tried.
	firstEventFactor = 4
	// gapFactor times the route's gap objective is how long a resumable stream
	// may pause between events before it continues on another runner.
	gapFactor = 2
	// maxEventBytes bounds one event, which is buffered before it is passed on.
	maxEventBytes = 1 << 20
	// maxBytesWithoutProgress bounds the comments and repeated events that a
	// runner may send between two new events.
	maxBytesWithoutProgress = 256 << 10
)

// errNoContinuation means that a further runner of a stream began with something that
// has no id, such as the text of an error.
var errNoContinuation = errors.New("the runner's answer does not continue the stream")

var errNoProgress = fmt.Errorf("the runner sent %d bytes without a new event", maxBytesWithoutProgress)

// stream is an answer of server-sent events on its way to the client. Several
// attempts in turn may supply the events.
type stream struct {
	exchange *exchange
	// lastEvent is the id of the last event that the client has, 0 if none.
	lastEvent        int
	events           int      // number sent to the client by this VM
	first            *attempt // whose header has been sent to the client, nil before
	next             *attempt // that has taken over from the present one, nil if none has
	chunks           io.WriteCloser
	timeToFirstEvent time.Duration // from the request's arrival
}

// serveStream forwards a request whose answer is a stream of events. If the
// runner fails in the middle, a resumable stream continues on another runner
// after the last event that the client has.
func (x *exchange) serveStream() {
	state := newRetryState()
	st := &stream{exchange: x, lastEvent: x.call.LastEvent}
	state.mayGiveUp = func() bool { return st.mayGiveUp(state) }
	for {
		a := x.nextStream(state, st)
		if a == nil {
			return
		}
		if a.header.StatusCode() != fasthttp.StatusOK || !st.continuedBy(a) {
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
			"last-event": st.lastEvent, "events": st.events, "draining": x.server.draining.Load()}).WithError(err).Warn("")
		if st.next == nil && !x.tryRetry(state) {
			st.abort(state)
			return
		}
	}
}

// nextStream returns the attempt that has taken over, or sends the request to the
// next runner. It returns nil once the exchange is over. A failure is answered by a refusal, or by closing the
// connection if the client already has the header.
func (x *exchange) nextStream(state *retryState, st *stream) *attempt {
	if a := st.next; a != nil {
		st.next = nil
		return a
	}
	return x.nextAttempt(state, st.lastEvent, x.firstEventTimeout(state), func(response refusal) {
		if st.first != nil {
			state.lastErr = errors.Join(state.lastErr, errors.New(cmp.Or(response.reason, "no further attempt is allowed")))
			st.abort(state)
			return
		}
		x.failRequest(state, response)
	})
}

// firstEventTimeout returns how long a further attempt at a stream may take to the
// header of its answer, 0 for no bound if no attempt could follow it.
func (x *exchange) firstEventTimeout(state *retryState) time.Duration {
	if x.firstByteTimeout(state) == 0 {
		return 0
	}
	return firstEventFactor * x.route.Objective
}

// continuedBy reports whether the answer to an attempt may go on with what the client
// has of the stream. A text about an error may come with status 200.
func (st *stream) continuedBy(a *attempt) bool {
	return st.first == nil || bytes.Equal(st.first.header.ContentType(), a.header.ContentType())
}

// handleNonStream handles an answer whose status is not 200, or that does not go on
// with the stream. It reports whether the exchange is over; otherwise the request is
// to be tried again.
func (x *exchange) handleNonStream(state *retryState, st *stream, a *attempt) bool {
	p, err := a.readPlain()
	if errors.Is(err, errClientGone) {
		x.handleClientGone()
		return true
	}
	state.lastErr = err
	if err == nil {
		state.fallback = p
	}
	if x.tryRetry(state) {
		return false
	}
	st.abort(state)
	return true
}

// relay passes the events of one attempt on to the client until the stream ends
// or breaks off. A silent runner may be merely slow, so it is given up only when
// another run has taken over.
func (st *stream) relay(state *retryState, a *attempt) error {
	x := st.exchange
	r := &eventReader{exchange: x, reader: bufio.NewReaderSize(a.body(), readBuffer)}
	setDeadline := func() {
		limit := x.timeoutAt
		if x.mayRetry(state) {
			limit = earlier(limit, time.Now().Add(st.eventTimeout()))
		}
		_ = a.upstream.SetReadDeadline(limit)
	}
	a.upstream.extendDeadline = func() bool {
		if x.remaining() <= 0 || st.tryTakeOver(state, a) {
			return false
		}
		setDeadline()
		return true
	}
	setDeadline()
	for {
		event, err := r.next()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return st.complete(a)
		}
		if a.withoutProgress += len(event); err == nil && a.withoutProgress > maxBytesWithoutProgress {
			err = errNoProgress
		}
		if err != nil {
			return a.fail(err)
		}
		id, ok := eventID(event)
		if !ok && !a.begun && st.first != nil && st.first != a && !isComment(event) {
			return a.fail(errNoContinuation)
		}
		if ok && !a.begun {
			a.begun = true
			a.activeRequest.PromptRead()
			x.recordPrompt(a.runner)
		}
		if ok && id <= st.lastEvent {
			continue // the client has this event from an earlier attempt
		}
		if err := st.sendEvent(a, event); err != nil {
			a.end(drfleetview.Abandoned)
			return errClientGone
		}
		if ok {
			// Only a new event is progress: a stalled runner may go on sending
			// comments or events that the client has already.
			st.lastEvent = id
			a.withoutProgress = 0
			setDeadline()
		}
	}
}

// isComment reports whether all lines of an event are comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(bytes.TrimSpace(event)) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// eventTimeout returns how long the runner of a resumable stream may take to the
// next event, at least 1 s once this VM has sent one.
func (st *stream) eventTimeout() time.Duration {
	if st.events == 0 {
		return firstEventFactor * st.exchange.route.Objective
	}
	return gapFactor * max(st.exchange.route.GapObjective, time.Second/gapFactor)
}

// eventReader reads the events of a stream. The buffer of an event is used again
// for the next one.
type eventReader struct {
	exchange *exchange
	reader   *bufio.Reader
	event    []byte
}

// next returns the next event including the empty line that ends it, valid until
// the next call. It returns no bytes and io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		if growErr := e.append(line); growErr != nil {
			return nil, growErr
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return e.event, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(e.event) > len(line):
			return e.event, nil
		}
	}
}

// append adds bytes to the event.
func (e *eventReader) append(p []byte) error {
	if len(e.event)+len(p) > maxEventBytes {
		return fmt.Errorf("an event of the stream exceeds %d bytes", maxEventBytes)
	}
	for len(p) > 0 {
		var err error
		if e.event, err = e.exchange.grow(e.event, maxEventBytes); err != nil {
			return err
		}
		n := min(len(p), cap(e.event)-len(e.event))
		e.event, p = append(e.event, p[:n]...), p[n:]
	}
	return nil
}

// eventID returns the number in an event's id field, and false if the event has
// no id or one that is no number.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(v)))
			return id, err == nil
		}
	}
	return 0, false
}

// sendEvent sends an event to the client, preceded by the header if that has not
// been sent yet. An error means that the client cannot be written to.
func (st *stream) sendEvent(a *attempt, event []byte) error {
	x := st.exchange
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := st.sendHeader(a); err != nil {
		return err
	}
	x.bindTo(a.runner)
	if st.events == 0 {
		st.timeToFirstEvent = x.server.Clock.Since(x.start)
	}
	st.events++
	if _, err := st.chunks.Write(event); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// sendHeader sends the header of a's answer to the client, unless a header has
// already been sent.
func (st *stream) sendHeader(a *attempt) error {
	if st.first != nil {
		return nil
	}
	x := st.exchange
	x.answering.Store(true)
	var h fasthttp.ResponseHeader
	a.header.CopyTo(&h)
	x.server.Wire.Deliver(&h)
	h.SetNoDefaultContentType(true)
	h.ResetConnectionClose()
	h.SetContentLength(drhttp.ChunkedLength)
	x.setConnectionHeader(&h)
	if _, err := h.WriteTo(x.conn.writer); err != nil {
		return err
	}
	st.first = a
	st.chunks = httputil.NewChunkedWriter(x.conn.writer)
	return nil
}

// complete ends the client's answer after the last event of a complete stream,
// and ends the attempt as succeeded.
func (st *stream) complete(a *attempt) error {
	x := st.exchange
	x.recordSuccess(a.header.StatusCode())
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
	if a.header.ContentLength() == drhttp.UntilCloseLength {
		a.end(drfleetview.Succeeded)
	} else {
		a.finish(drfleetview.Succeeded)
	}
	if err != nil {
		return errClientGone
	}
	return nil
}

// recordServed logs a complete stream and adds its times to the metrics.
func (st *stream) recordServed(a *attempt) {
	x := st.exchange
	x.server.Metrics.Observe(drmetric.TimeToFirstToken, st.timeToFirstEvent)
	x.recordServed(a.header.StatusCode(), log.Fields{"events": st.events, "first": st.timeToFirstEvent.Round(time.Millisecond)})
}

// abort ends a stream that no runner can finish. Before the header the client
// gets a refusal; after it the connection is closed without the final chunk,
// which tells the client that the stream is incomplete.
func (st *stream) abort(state *retryState) {
	x := st.exchange
	if st.first == nil {
		x.failRequest(state, refusal{})
		return
	}
	x.keepAlive = false
	detail := ""
	if state.lastErr != nil {
		detail = state.lastErr.Error()
	}
	x.logEnd("stream-aborted", fasthttp.StatusOK, log.Fields{"detail": detail, "events": st.events, "last-event": st.lastEvent,
		"denied": state.denied.String(), "draining": x.server.draining.Load()})
}
