package drpeer

import (
	"bufio"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// States of an outgoing call. A call whose context ends in callOpening moves
// to callAbandoned and has certainly not run. From callSending on, it may have.
const (
	callOpening int32 = iota
	callSending
	callAbandoned
)

// outgoingCall is a call to another VM. It runs on its own goroutine, because
// opening a yamux stream or writing to it may block beyond the end of the
// caller's context.
type outgoingCall struct {
	session    *session
	vm, method string
	frame      []byte
	state      atomic.Int32
}

// call sends a request and waits for its reply or for the end of ctx. After
// ctx has ended, the goroutine of the call ends on its own.
func (s *session) call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	call := &outgoingCall{session: s, vm: vm, method: method}
	var err error
	if call.frame, err = s.encodeRequest(ctx, method, req); err != nil {
		reason := drerror.MalformedRequest
		if errors.Is(err, errTooLarge) {
			reason = drerror.TooLarge
		}
		return drerror.Wrap(drerror.NotRun, reason, err, "call "+method+" on "+vm)
	}
	type result struct {
		reply *drpb.Reply
		err   error
	}
	done := make(chan result, 1)
	s.beginCall()
	go func() {
		defer s.endCall()
		reply, err := call.roundTrip(ctx)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		if r.err != nil && ctx.Err() != nil {
			return contextError(ctx, drerror.VerdictOf(r.err), vm, method)
		}
		if r.err != nil {
			return r.err
		}
		return s.decodeResult(r.reply, resp, vm, method)
	case <-ctx.Done():
		verdict := drerror.MayHaveRun
		if call.state.CompareAndSwap(callOpening, callAbandoned) {
			verdict = drerror.NotRun
		}
		return contextError(ctx, verdict, vm, method)
	}
}

func (s *session) encodeRequest(ctx context.Context, method string, req proto.Message) ([]byte, error) {
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	config := s.node.config
	request := &drpb.Request{
		Version: Version, Method: method, From: config.VM, Incarnation: config.Incarnation,
		Body: body, Stamp: uint64(config.Hybrid.Now()),
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutMs = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	return encodeFrame(request)
}

// roundTrip opens a stream, writes the request and reads the reply. Each error
// says whether the request may have reached the handler.
func (c *outgoingCall) roundTrip(ctx context.Context) (*drpb.Reply, error) {
	stream, err := c.session.mux.OpenStream()
	if err != nil {
		c.session.markRetired()
		return nil, c.wrapError(drerror.NotRun, err, "open stream")
	}
	defer stream.Close()
	if !c.state.CompareAndSwap(callOpening, callSending) {
		return nil, c.wrapError(drerror.NotRun, context.Cause(ctx), "send request")
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if written, err := stream.Write(c.frame); err != nil {
		return nil, c.wrapError(writeVerdict(written, len(c.frame), err), err, "send request")
	}
	reply := new(drpb.Reply)
	if err := readFrame(bufio.NewReader(stream), reply); err != nil {
		verdict := drerror.MayHaveRun
		if errors.Is(err, yamux.ErrConnectionReset) {
			// Only streams that were never accepted are reset: the peer is
			// retiring the session or has too many streams waiting.
			verdict = drerror.NotRun
		}
		return nil, c.wrapError(verdict, err, "read reply")
	}
	return reply, nil
}

// writeVerdict returns NotRun if the peer cannot have received the whole
// request after a write of total bytes failed with err and reported written
// bytes. yamux returns ErrStreamClosed, ErrConnectionReset and ErrTimeout
// before it queues the next frame. After any other error, that frame may still
// be sent.
func writeVerdict(written, total int, err error) drerror.Verdict {
	mayBeQueued := !errors.Is(err, yamux.ErrStreamClosed) && !errors.Is(err, yamux.ErrConnectionReset) &&
		!errors.Is(err, yamux.ErrTimeout)
	if written < total && !mayBeQueued {
		return drerror.NotRun
	}
	return drerror.MayHaveRun
}

func (c *outgoingCall) wrapError(verdict drerror.Verdict, err error, action string) error {
	return drerror.Wrap(verdict, drerror.Unavailable, err, action+" of "+c.method+" on "+c.vm)
}

// decodeResult stores the body of a successful reply in resp, and returns the
// error that any other reply carries. A reply without a reason is successful.
func (s *session) decodeResult(reply *drpb.Reply, resp proto.Message, vm, method string) error {
	s.node.config.Hybrid.Observe(drtimeline.Stamp(reply.GetStamp()))
	if reply.GetReason() == "" {
		return decodeReply(reply.GetBody(), resp, vm, method)
	}
	return drerror.New(drerror.ParseVerdict(reply.GetVerdict()), drerror.ParseReason(reply.GetReason()),
		"%s on %s: %s", method, vm, reply.GetMessage()).
		WithRetryAfter(time.Duration(reply.GetRetryAfterMs()) * time.Millisecond)
}
