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

// requestTimeout bounds how long a peer may take to send its request.
const requestTimeout = 10 * time.Second

// serveStream serves the call on st.
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

// callContext returns a context that ends at the caller's deadline, or when
// the caller closes its stream or the session ends.
func (s *session) callContext(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader, timeoutMS uint64) (
	context.Context, context.CancelFunc,
) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		// The caller sends nothing more, so that the read ends with the
		// stream; st.Close ends it locally.
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

// dispatch runs the handler of a request.
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

// runHandler turns a panic into an error, so that one faulty call does not
// end the process with all its other requests.
func runHandler(ctx context.Context, handler Handler, from Sender, body []byte) (response proto.Message, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("handler panicked: %v", panicValue)
		}
	}()
	return handler(ctx, from, body)
}

func errorReply(err error) *drpb.Reply {
	reply := &drpb.Reply{
		Reason: drerror.ReasonOf(err).String(), Verdict: drerror.Of(err).String(), Message: err.Error(),
	}
	if drErr, ok := errors.AsType[*drerror.Error](err); ok && drErr.RetryAfter > 0 {
		reply.RetryAfterMs = uint64(max(drErr.RetryAfter.Milliseconds(), 1))
	}
	return reply
}

// writeReply writes the reply and closes the stream. If it cannot be written, the
// session ends: the stream's later reset would say that the call did not run.
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
