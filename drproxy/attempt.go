package drproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// Errors that tell how far an attempt got.
var (
	// errNotSent means that the runner has certainly received nothing of the
	// request, so another runner may be tried on any route.
	errNotSent = errors.New("the request was not sent to the runner")
	// errAnswerIncomplete means that the runner may have run the request, so it
	// is retried only on idempotent routes.
	errAnswerIncomplete = errors.New("the runner's answer is missing or incomplete")
	// errUnwanted means that the runner has said, while a connection to it was
	// being opened, that it wants no requests.
	errUnwanted = errors.New("the runner wants no requests")
	// errLeaves means that the runner that was to go on with a stream leaves.
	errLeaves = errors.New("the runner leaves")
	// errClientGone means that the client has closed its connection, so that
	// nobody is left to receive an answer.
	errClientGone = errors.New("the client has closed its connection")
	// errTimeout means that the route's timeout or the client's deadline has
	// passed.
	errTimeout = errors.New("the request's time has passed")
)

// maxMismatchedAnswers is how many interim answers (1xx) and answers to other
// requests an attempt skips on its connection before it fails.
const maxMismatchedAnswers = 2

// attempt is one try to get a request answered by a runner. It ends exactly
// once, by end or by finish.
type attempt struct {
	exchange      *exchange
	runner        *drfleet.Runner
	activeRequest *drfleetview.ActiveRequest
	upstream      *upstream
	header        fasthttp.ResponseHeader
	answer        Answer
	sentAt        time.Time
	sentUptime    time.Duration
	stopWatching  func()
	// closedHere is set before watch closes the connection to the runner, and endedFirst if
	// the runner had ended it by then.
	closedHere, endedFirst atomic.Bool
	// begun is set once the runner has sent an event with an id.
	begun bool
	// withoutProgress is the number of bytes of comments and repeated events that the
	// runner has sent since its last new event.
	withoutProgress int
	ended           bool
	attemptOptions
}

// attemptOptions holds what differs between the attempts of one request.
type attemptOptions struct {
	// lastEvent is the id of the last event that the client has, 0 if none.
	lastEvent int
	// firstByteTimeout bounds the wait for the header of the answer, counted
	// from sentAt. With 0 only the request's timeout bounds it.
	firstByteTimeout time.Duration
	// mayGiveUp reports whether the attempt may end when firstByteTimeout has passed. It
	// always may if this is nil.
	mayGiveUp func() bool
	// repeated is set if the runner has had this request before. A second copy
	// of its first answer bears the same request ID, so it must not be able to
	// arrive on the connection of this attempt.
	repeated bool
	// replaces is the attempt of a silent runner that this one is to replace, nil if
	// there is none. It ends once this one has begun.
	replaces *attempt
}

// startAttempt sends the request to a runner and reads the header of its
// answer, unless its client has left. After an error the attempt has already
// ended.
func (x *exchange) startAttempt(runner *drfleet.Runner, options attemptOptions) (*attempt, error) {
	if x.conn.PeerClosed() {
		return nil, errClientGone
	}
	a := &attempt{exchange: x, runner: runner, activeRequest: x.server.View.Begin(runner, x.replica()), attemptOptions: options}
	a.activeRequest.SetTokens(x.tokens())
	x.current = a
	x.attempts++
	x.runner = runner.ID
	if err := a.connect(); err != nil {
		a.end(drfleetview.Unreachable)
		return a, fmt.Errorf("%w: %w", errNotSent, err)
	}
	_, recent := x.checkNews()
	if _, inStep := x.checkTable(); !recent || !inStep || !x.server.View.MayStart(runner) {
		a.end(drfleetview.Abandoned)
		return a, fmt.Errorf("%w: %w", errNotSent, errUnwanted)
	}
	a.watch()
	if err := a.send(); err != nil {
		return a, err
	}
	err := a.readHeader()
	a.upstream.extendDeadline = nil
	if err == nil && a.goesOnAtLeaving() {
		a.end(drfleetview.Abandoned)
		return a, fmt.Errorf("%w: %w", errAnswerIncomplete, errLeaves)
	}
	return a, err
}

// connect takes a connection to the runner from the pool or opens one.
func (a *attempt) connect() error {
	ctx, cancel := context.WithDeadline(context.Background(), a.exchange.timeoutAt)
	defer cancel()
	var err error
	// Requests that must not be repeated get a new connection: the runner may
	// close an idle one while the request is being sent, and then it is not known
	// whether the request has run.
	// The connection of a run that is to replace a silent one must not be silent itself.
	forceNew := a.repeated || a.replaces != nil || !a.exchange.route.Idempotent()
	a.upstream, err = a.exchange.server.pool.get(ctx, a.runner.Address, forceNew)
	return err
}

// watch closes the connection to the runner when the client closes its own, so that
// the runner stops working on the request, and when the request must end because the
// server stops. Requests on unsafe routes are left to run to their end when their client
// leaves. stopWatching ends the watch and returns once it cannot close the connection any
// more.
func (a *attempt) watch() {
	x := a.exchange
	left := x.conn.Done()
	if x.route.Kind == drfleet.Unsafe {
		left = nil
	}
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		stopping := x.server.stopAnswering
		for {
			select {
			case <-left:
			case <-ended:
				return
			case <-stopping:
				if !x.mustGiveUp() {
					stopping = nil
					continue
				}
			}
			a.endedFirst.Store(a.upstream.endedByPeer())
			a.closedHere.Store(true)
			_ = a.upstream.Close()
			return
		}
	}()
	a.stopWatching = func() {
		close(ended)
		<-stopped
	}
}

// send writes the request to the runner, with the headers that Wire adds.
func (a *attempt) send() error {
	x := a.exchange
	left := x.remaining()
	if left <= 0 {
		a.end(drfleetview.Abandoned)
		return fmt.Errorf("%w: %w", errNotSent, errTimeout)
	}
	var h fasthttp.RequestHeader
	x.header.CopyTo(&h)
	h.SetNoDefaultContentType(true)
	d := Dispatch{Instance: a.runner.ID, Remaining: left, LastEvent: a.lastEvent, Urgency: -1}
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
	_ = a.upstream.SetWriteDeadline(x.timeoutAt)
	a.sentAt, a.sentUptime = x.server.Clock.Now(), x.server.Clock.Uptime()
	w := bufio.NewWriterSize(a.upstream, writeBuffer)
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

// readHeader reads the header of the answer. It skips interim answers (1xx) and
// answers to other requests, which a runner may send late on a reused
// connection.
func (a *attempt) readHeader() error {
	limit := a.exchange.timeoutAt
	if a.firstByteTimeout > 0 {
		if t := a.sentAt.Add(a.firstByteTimeout); t.Before(limit) {
			limit = t
		}
	}
	for range maxMismatchedAnswers + 1 {
		a.setHeaderDeadline(limit)
		a.header = fasthttp.ResponseHeader{}
		a.header.SetNoDefaultContentType(true)
		if err := drhttp.ReadHeader(&a.header, a.upstream.reader); err != nil {
			return a.fail(err)
		}
		if code := a.header.StatusCode(); code >= 100 && code < 200 {
			continue
		}
		a.answer = a.exchange.server.Wire.Answer(&a.header)
		if a.isOwnAnswer() {
			a.recordStatements()
			return a.checkSignature()
		}
		log.WithFields(log.Fields{"event": "stray-answer", "request-id": a.exchange.call.ID, "of": a.answer.RequestID,
			"runner": a.runner.ID}).Warn("")
		a.upstream.extendDeadline = nil
		if err := a.skipBody(); err != nil {
			return a.fail(err)
		}
	}
	return a.fail(errors.New("the connection carried too many answers to other requests"))
}

// isOwnAnswer reports whether the answer belongs to this request. An answer
// without an ID does only on a new connection, which has carried no other
// request.
func (a *attempt) isOwnAnswer() bool {
	return a.answer.RequestID == a.exchange.call.ID || a.answer.RequestID == "" && !a.upstream.reused
}

// checkSignature fails the attempt if a successful answer (2xx) is not signed
// by the runner: the bytes may belong to no request at all.
func (a *attempt) checkSignature() error {
	if code := a.header.StatusCode(); code >= 200 && code < 300 && !a.answer.Sealed {
		return a.fail(errors.New("the successful answer lacks the runner's signature"))
	}
	return nil
}

// fail ends the attempt after an error on the connection and returns the error
// that describes it: errClientGone, errTimeout or errAnswerIncomplete. An error
// that follows the client's leaving does not count against the runner, but a
// connection that the runner has ended counts as its crash all the same.
func (a *attempt) fail(err error) error {
	x := a.exchange
	a.recordCrash(err)
	if x.clientLeft() {
		a.end(drfleetview.Abandoned)
		return errClientGone
	}
	if x.mustGiveUp() {
		a.end(drfleetview.Abandoned)
		return fmt.Errorf("%w: %w", errTimeout, errStopping)
	}
	a.end(drfleetview.Failed)
	if !x.server.Clock.Now().Before(x.timeoutAt) {
		return fmt.Errorf("%w: %w", errTimeout, err)
	}
	return fmt.Errorf("%w: %w", errAnswerIncomplete, err)
}

// clientLeft reports whether the client has closed its connection.
func (x *exchange) clientLeft() bool {
	select {
	case <-x.conn.Done():
		return true
	default:
		return false
	}
}

// end ends the attempt with its result and closes the connection. It does
// nothing if the attempt has already ended.
func (a *attempt) end(result drfleetview.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.activeRequest.End(result)
	if a.stopWatching != nil {
		a.stopWatching()
	}
	if a.upstream != nil {
		_ = a.upstream.Close()
	}
}

// finish ends the attempt after its answer was read completely, and returns the
// connection to the pool. It does nothing if the attempt has already ended.
func (a *attempt) finish(result drfleetview.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.activeRequest.End(result)
	a.stopWatching()
	a.exchange.server.pool.put(a.upstream, a.answer, &a.header, a.exchange.maxIdle())
}

// handleNotExecuted reports whether the answer says that the runner has not run
// the request. If so, it ends the attempt: the runner counts as lacking the
// replica after status 421, and as having no room otherwise.
func (a *attempt) handleNotExecuted() bool {
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
	log.WithFields(log.Fields{"event": "runner-refused", "request-id": a.exchange.call.ID, "runner": a.runner.ID, "status": code,
		"model": a.exchange.call.Model, "adapter": a.exchange.call.Adapter, "orders": a.runner.Orders}).Info("")
	return true
}
