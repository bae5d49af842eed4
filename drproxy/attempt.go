package drproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// Errors of attempts.
var (
	// errNotSent means that the runner certainly has not received the request.
	errNotSent = errors.New("the request was not sent")
	// errBroken means that the runner may have run the request.
	errBroken = errors.New("the runner's answer is missing or incomplete")
	// errClientGone means that the client has closed its connection.
	errClientGone = errors.New("the client is gone")
	// errTimeout means that the request's time has passed.
	errTimeout = errors.New("the request's time has passed")
)

// maxStrays bounds the answers to other requests that are skipped on a
// connection.
const maxStrays = 2

// attempt is one sending of a request to a runner.
type attempt struct {
	x      *exchange
	runner *drfleet.Runner
	use    *drfleetview.Use
	up     *upstream
	header fasthttp.ResponseHeader
	answer Answer
	sent   time.Time
	stop   func()
	ended  bool
	// silence bounds the wait for the first byte of the answer, 0 for none.
	silence time.Duration
}

// begin sends the request to a runner and reads the header of its answer.
func (x *exchange) begin(r *drfleet.Runner, lastEvent int, silence time.Duration) (*attempt, error) {
	a := &attempt{x: x, runner: r, use: x.server.View.Begin(r, x.replica()), silence: silence}
	x.attempts++
	x.runner = r.ID
	if err := a.connect(); err != nil {
		a.end(drfleetview.Unreachable)
		return a, fmt.Errorf("%w: %w", errNotSent, err)
	}
	a.watch()
	if err := a.send(lastEvent); err != nil {
		return a, err
	}
	if err := a.readHeader(); err != nil {
		return a, err
	}
	return a, nil
}

func (a *attempt) connect() error {
	ctx, cancel := context.WithDeadline(context.Background(), a.x.timeoutAt)
	defer cancel()
	var err error
	// A kept connection may be closed by the runner at the same moment, after
	// which it is not known whether the request has run.
	a.up, err = a.x.server.pool.get(ctx, a.runner.Address, !a.x.route.Idempotent())
	return err
}

// watch closes the connection to the runner when the client leaves, so that
// the runner stops, unless the request may not be repeated and is no stream.
func (a *attempt) watch() {
	done := a.x.conn.done
	a.stop = func() {}
	if done == nil || a.x.route.Kind == drfleet.Unsafe {
		return
	}
	over := make(chan struct{})
	up := a.up
	go func() {
		select {
		case <-done:
			_ = up.Close()
		case <-over:
		}
	}()
	a.stop = func() { close(over) }
}

func (a *attempt) send(lastEvent int) error {
	x := a.x
	left := x.left()
	if left <= 0 {
		a.end(drfleetview.Abandoned)
		return fmt.Errorf("%w: %w", errNotSent, errTimeout)
	}
	var h fasthttp.RequestHeader
	x.header.CopyTo(&h)
	h.SetNoDefaultContentType(true)
	d := Dispatch{Instance: a.runner.ID, Remaining: left, LastEvent: lastEvent, Urgency: -1}
	if x.account != nil {
		d.Account = x.account.Name
	}
	if x.service.Engine != nil {
		d.Urgency = x.urgency()
	}
	x.server.Wire.Dispatch(&h, d)
	if len(x.body) > 0 || !h.IsGet() && !h.IsHead() {
		h.SetContentLength(len(x.body))
	}
	_ = a.up.SetWriteDeadline(x.timeoutAt)
	a.sent = x.server.Clock.Now()
	w := bufio.NewWriterSize(a.up, writeBuffer)
	if _, err := h.WriteTo(w); err != nil {
		return a.fail(err)
	}
	if _, err := w.Write(x.body); err != nil {
		return a.fail(err)
	}
	if err := w.Flush(); err != nil {
		return a.fail(err)
	}
	return nil
}

// readHeader reads the header of the answer. Answers to other requests, which
// a runner may send late, are skipped.
func (a *attempt) readHeader() error {
	limit := a.x.timeoutAt
	if a.silence > 0 {
		if t := a.sent.Add(a.silence); t.Before(limit) {
			limit = t
		}
	}
	_ = a.up.SetReadDeadline(limit)
	for range maxStrays + 1 {
		a.header = fasthttp.ResponseHeader{}
		a.header.SetNoDefaultContentType(true)
		if err := a.header.Read(a.up.r); err != nil {
			return a.fail(err)
		}
		if code := a.header.StatusCode(); code >= 100 && code < 200 {
			continue
		}
		a.answer = a.x.server.Wire.Answer(&a.header)
		if a.answer.RequestID == "" || a.answer.RequestID == a.x.call.ID {
			return a.checkSeal()
		}
		log.WithFields(log.Fields{"event": "stray-answer", "request-id": a.x.call.ID, "of": a.answer.RequestID,
			"runner": a.runner.ID}).Warn("")
		if err := a.skipBody(); err != nil {
			return a.fail(err)
		}
	}
	return a.fail(errors.New("too many answers to other requests"))
}

// checkSeal refuses a success that the runner has not signed: it may be bytes
// that belong to no request.
func (a *attempt) checkSeal() error {
	if code := a.header.StatusCode(); code >= 200 && code < 300 && !a.answer.Sealed {
		return a.fail(errors.New("the answer is not signed"))
	}
	return nil
}

// fail ends the attempt after an error on the connection.
func (a *attempt) fail(err error) error {
	x := a.x
	if x.clientLeft() {
		a.end(drfleetview.Abandoned)
		return errClientGone
	}
	a.end(drfleetview.Failed)
	if !x.server.Clock.Now().Before(x.timeoutAt) {
		return fmt.Errorf("%w: %w", errTimeout, err)
	}
	return fmt.Errorf("%w: %w", errBroken, err)
}

// clientLeft reports whether the client has closed its connection.
func (x *exchange) clientLeft() bool {
	if x.conn.done == nil {
		return false
	}
	select {
	case <-x.conn.done:
		return true
	default:
		return false
	}
}

// end ends the attempt and closes its connection.
func (a *attempt) end(r drfleetview.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.use.End(r)
	if a.stop != nil {
		a.stop()
	}
	if a.up != nil {
		_ = a.up.Close()
	}
}

// finish ends the attempt after a complete answer and keeps its connection.
func (a *attempt) finish(r drfleetview.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.use.End(r)
	a.stop()
	_ = a.up.SetDeadline(time.Time{})
	a.x.server.pool.put(a.up, a.answer, &a.header)
}

// notRun reports whether the answer says that the runner has not run the
// request, and enters what that tells of the runner.
func (a *attempt) notRun() bool {
	code := a.header.StatusCode()
	if !a.answer.NotExecuted && code != fasthttp.StatusMisdirectedRequest {
		return false
	}
	result := drfleetview.Rejected
	if code == fasthttp.StatusMisdirectedRequest {
		result = drfleetview.Missing
	}
	if a.skipBody() == nil {
		a.finish(result)
	} else {
		a.end(result)
	}
	log.WithFields(log.Fields{"event": "runner-refused", "request-id": a.x.call.ID, "runner": a.runner.ID, "status": code,
		"model": a.x.call.Model, "adapter": a.x.call.Adapter, "orders": a.runner.Orders}).Info("")
	return true
}
