package drpeer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// requestTimeout bounds the time from accepting a stream to having read the
// whole request.
const requestTimeout = 10 * time.Second

// serveStream reads the request on an accepted stream, runs its handler and
// writes the reply.
func (s *session) serveStream(ctx context.Context, stream *yamux.Stream) {
	reader := bufio.NewReader(stream)
	req := new(drpb.Request)
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	if err := readFrame(reader, req); err != nil {
		s.writeReply(stream, errorReply(drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "read request")))
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	s.node.config.Hybrid.Observe(drtimeline.Stamp(req.GetStamp()))
	if s.peerVM.CompareAndSwap("", req.GetFrom()) {
		s.node.reuseAccepted(s, req.GetFrom())
	}
	ctx, cancel := s.callContext(ctx, stream, reader, req.GetTimeoutMs())
	defer cancel()
	s.writeReply(stream, s.dispatch(ctx, req))
}

// callContext returns the context of a handler. It ends at the caller's
// deadline, when the caller closes its stream, or when the session ends. A
// timeoutMS of 0 means that the caller has no deadline; others are capped at
// 24 h.
func (s *session) callContext(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader, timeoutMS uint64) (
	context.Context, context.CancelFunc,
) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		// The caller sends nothing after its request, so this read returns
		// only when the stream ends or the returned cancel function sets a
		// read deadline in the past.
		_, _ = reader.ReadByte()
		cancel()
	}()
	stop := cancel
	if timeoutMS > 0 {
		timeout := time.Duration(min(timeoutMS, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
		ctx, stop = drclock.WithTimeout(ctx, s.node.config.Clock, timeout)
	}
	return ctx, func() {
		stop()
		cancel()
		_ = stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// dispatch runs the handler registered for the request's method and converts
// its result or error to a reply.
func (s *session) dispatch(ctx context.Context, req *drpb.Request) *drpb.Reply {
	handler, ok := s.node.handler(req.GetMethod())
	if !ok {
		return errorReply(drerror.New(drerror.NotRun, drerror.Unimplemented,
			"method %q is not implemented", req.GetMethod()))
	}
	response, err := runHandler(ctx, handler, Sender{req.GetFrom(), req.GetIncarnation()}, req.GetBody())
	if err != nil {
		return errorReply(err)
	}
	reply := new(drpb.Reply)
	if response != nil {
		if reply.Body, err = proto.Marshal(response); err != nil {
			return errorReply(drerror.Wrap(drerror.Ran, drerror.Internal, err, "encode reply"))
		}
	}
	return reply
}

// runHandler runs a handler and turns a panic into an error, because a panic
// would end the process and all its other requests.
func runHandler(ctx context.Context, handler Handler, from Sender, body []byte) (response proto.Message, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("handler panicked: %v", panicValue)
		}
	}()
	return handler(ctx, from, body)
}

// errorReply encodes err. A retry delay is rounded down to whole milliseconds,
// but to 1 ms at least, because 0 on the wire means that there is none.
func errorReply(err error) *drpb.Reply {
	reply := &drpb.Reply{
		Reason: drerror.ReasonOf(err).String(), Verdict: drerror.VerdictOf(err).String(), Message: err.Error(),
	}
	if drErr, ok := errors.AsType[*drerror.Error](err); ok && drErr.RetryAfter > 0 {
		reply.RetryAfterMs = uint64(max(drErr.RetryAfter.Milliseconds(), 1))
	}
	return reply
}

// writeReply writes the reply and closes the stream. If the write fails, it
// closes the whole session, unless the caller has closed the stream: after a
// mere reset of the stream, the caller would conclude that the call did not run.
func (s *session) writeReply(stream *yamux.Stream, reply *drpb.Reply) {
	defer stream.Close()
	reply.Stamp = uint64(s.node.config.Hybrid.Now())
	frame, err := encodeFrame(reply)
	if err != nil {
		tooLarge := errorReply(drerror.Wrap(drerror.Ran, drerror.TooLarge, err, "encode reply"))
		if frame, err = encodeFrame(tooLarge); err != nil {
			s.close()
			return
		}
	}
	_ = stream.SetWriteDeadline(time.Now().Add(streamCloseTimeout))
	if _, err := stream.Write(frame); err != nil && !errors.Is(err, yamux.ErrStreamClosed) &&
		!errors.Is(err, yamux.ErrConnectionReset) {
		s.close()
	}
}
