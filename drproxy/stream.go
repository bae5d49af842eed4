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
	// firstSilence is how many times its objective a resumable stream may take
	// to its first event before another runner is tried.
	firstSilence = 4
	// gapSilence is how many times the longest permitted pause a resumable
	// stream may be silent before it goes on at another runner.
	gapSilence = 2
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// stream is the answer to a client that is passed on event by event.
type stream struct {
	x *exchange
	// last is the id of the last event that the client has.
	last    int
	events  int
	started bool // the header has been sent
	chunks  io.WriteCloser
	first   time.Duration // time to the first event
}

// serveStream forwards a request whose answer is a series of events. A
// resumable stream goes on at another runner if its runner breaks off.
func (x *exchange) serveStream() {
	j := newJourney()
	st := &stream{x: x, last: x.call.LastEvent}
	for {
		a := x.nextStream(j, st)
		if a == nil {
			return
		}
		if code := a.header.StatusCode(); code != fasthttp.StatusOK {
			if x.streamFailed(j, st, a) {
				return
			}
			continue
		}
		err := st.relay(j, a)
		switch {
		case err == nil:
			st.finish(a)
			return
		case errors.Is(err, errClientGone):
			x.gone()
			return
		}
		j.lastErr = err
		log.WithFields(log.Fields{"event": "stream-broken", "request-id": x.call.ID, "runner": a.runner.ID,
			"last-event": st.last, "events": st.events}).WithError(err).Warn("")
		if !x.again(j) {
			st.abort(j)
			return
		}
	}
}

// nextStream sends the request on. Once the client has the header, a failure
// can only end its connection.
func (x *exchange) nextStream(j *journey, st *stream) *attempt {
	silence := time.Duration(0)
	if x.silenceLimit(j) > 0 {
		silence = firstSilence * x.route.Objective
	}
	return x.next(j, st.last, silence, func(r refusal) {
		if st.started {
			j.lastErr = errors.Join(j.lastErr, errors.New(cmp.Or(r.reason, "no further attempt")))
			st.abort(j)
			return
		}
		x.giveUp(j, r)
	})
}

// streamFailed handles an answer that is no stream. It reports whether the
// client has been answered.
func (x *exchange) streamFailed(j *journey, st *stream, a *attempt) bool {
	p, err := a.readPlain()
	if errors.Is(err, errClientGone) {
		x.gone()
		return true
	}
	j.lastErr = err
	if x.again(j) {
		return false
	}
	switch {
	case st.started:
		st.abort(j)
	case err != nil:
		x.giveUp(j, refusal{})
	default:
		x.deliver(p)
	}
	return true
}

// replaceable reports whether a runner can go on with the stream on a new
// connection.
func (st *stream) replaceable(j *journey) bool {
	x := st.x
	if !x.mayRepeat(j) || !x.server.Budgets.Of(x.service.Name).Left() {
		return false
	}
	return drbalancer.Choose(x.ask(j.tried), x.server.View.Candidates(x.replica()), true) != nil
}

// relay passes events on until the stream's end. A runner that is silent is
// given up only if the stream can go on: it may be merely slow.
func (st *stream) relay(j *journey, a *attempt) error {
	x := st.x
	r := bufio.NewReaderSize(a.body(), readBuffer)
	wait := func() {
		limit := x.timeoutAt
		if x.mayRepeat(j) {
			limit = earlier(limit, time.Now().Add(st.silence()))
		}
		_ = a.up.SetReadDeadline(limit)
	}
	a.up.patience = func() bool {
		if x.left() <= 0 || st.replaceable(j) {
			return false
		}
		wait()
		return true
	}
	defer func() { a.up.patience = nil }()
	for {
		wait()
		event, err := readEvent(r)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return st.complete(a)
		}
		if err != nil {
			return a.fail(err)
		}
		id, ok := eventID(event)
		if ok && id <= st.last {
			continue // the client has it from an earlier runner
		}
		if err := st.pass(a, event); err != nil {
			a.end(drfleetview.Abandoned)
			return errClientGone
		}
		if ok {
			st.last = id
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// silence returns how long the runner may take to the next event.
func (st *stream) silence() time.Duration {
	if st.events == 0 {
		return firstSilence * st.x.route.Objective
	}
	return gapSilence * max(st.x.route.GapObjective, time.Second/gapSilence)
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
		if len(event) > maxEvent {
			return nil, fmt.Errorf("an event exceeds %d bytes", maxEvent)
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

// pass sends an event to the client, the header before the first one.
func (st *stream) pass(a *attempt, event []byte) error {
	x := st.x
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if err := st.start(a); err != nil {
		return err
	}
	if st.events == 0 {
		st.first = x.server.Clock.Since(x.start)
	}
	st.events++
	if _, err := st.chunks.Write(event); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// start sends the header once.
func (st *stream) start(a *attempt) error {
	if st.started {
		return nil
	}
	x := st.x
	var h fasthttp.ResponseHeader
	a.header.CopyTo(&h)
	x.server.Wire.Deliver(&h)
	h.SetNoDefaultContentType(true)
	h.ResetConnectionClose()
	h.SetContentLength(chunkedLength)
	x.closing(&h)
	if _, err := h.WriteTo(x.conn.w); err != nil {
		return err
	}
	st.started = true
	st.chunks = httputil.NewChunkedWriter(x.conn.w)
	return nil
}

// complete ends the client's answer after the last event.
func (st *stream) complete(a *attempt) error {
	x := st.x
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	err := st.start(a)
	if err == nil {
		err = st.chunks.Close()
	}
	if err == nil {
		_, err = x.conn.w.WriteString("\r\n")
	}
	if err == nil {
		err = x.conn.w.Flush()
	}
	if a.header.ContentLength() == untilEndLength {
		a.end(drfleetview.Succeeded)
	} else {
		a.finish(drfleetview.Succeeded)
	}
	if err != nil {
		return errClientGone
	}
	return nil
}

func (st *stream) finish(a *attempt) {
	x := st.x
	x.server.Metrics.Observe(drmetric.TimeToFirstToken, st.first)
	x.served(a.header.StatusCode(), log.Fields{"events": st.events, "first": st.first.Round(time.Millisecond)})
}

// abort ends a stream that cannot be finished. After the header only a closed
// connection tells the client so.
func (st *stream) abort(j *journey) {
	x := st.x
	if !st.started {
		x.giveUp(j, refusal{})
		return
	}
	x.keep = false
	detail := ""
	if j.lastErr != nil {
		detail = j.lastErr.Error()
	}
	x.logEnd("stream-aborted", fasthttp.StatusOK, log.Fields{"detail": detail, "events": st.events, "last-event": st.last})
}
