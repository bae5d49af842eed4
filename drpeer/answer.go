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

// answer serves the call on st.
func (s *session) answer(ctx context.Context, st *yamux.Stream) {
	r := bufio.NewReader(st)
	req := new(drpb.Request)
	_ = st.SetReadDeadline(time.Now().Add(requestTimeout))
	if err := readFrame(r, req); err != nil {
		s.reply(st, errorReply(drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "read request")))
		return
	}
	_ = st.SetReadDeadline(time.Time{})
	s.node.config.Hybrid.Observe(drtimeline.Stamp(req.GetStamp()))
	if s.peer.CompareAndSwap("", req.GetFrom()) {
		s.node.adopt(s, req.GetFrom())
	}
	ctx, cancel := s.callContext(ctx, st, r, req.GetTimeoutMs())
	defer cancel()
	s.reply(st, s.dispatch(ctx, req))
}

// callContext returns a context that ends at the caller's deadline, or when
// the caller closes its stream or the session ends.
func (s *session) callContext(ctx context.Context, st *yamux.Stream, r *bufio.Reader, timeoutMS uint64) (
	context.Context, context.CancelFunc,
) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		// The caller sends nothing more, so that the read ends with the
		// stream; st.Close ends it locally.
		_, _ = r.ReadByte()
		cancel()
	}()
	stop := cancel
	if timeoutMS > 0 {
		d := time.Duration(min(timeoutMS, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
		ctx, stop = drclock.WithTimeout(ctx, s.node.config.Clock, d)
	}
	return ctx, func() {
		stop()
		cancel()
		_ = st.SetReadDeadline(time.Unix(1, 0))
	}
}

// dispatch runs the handler of a request.
func (s *session) dispatch(ctx context.Context, req *drpb.Request) *drpb.Reply {
	h, ok := s.node.handler(req.GetMethod())
	if !ok {
		return errorReply(drerror.New(drerror.NotRun, drerror.Unimplemented,
			"method %q is not implemented", req.GetMethod()))
	}
	out, err := runHandler(ctx, h, Sender{req.GetFrom(), req.GetIncarnation()}, req.GetBody())
	if err != nil {
		return errorReply(err)
	}
	reply := new(drpb.Reply)
	if out != nil {
		if reply.Body, err = proto.Marshal(out); err != nil {
			return errorReply(drerror.Wrap(drerror.Ran, drerror.Internal, err, "encode reply"))
		}
	}
	return reply
}

// runHandler turns a panic into an error, so that one faulty call does not
// end the process with all its other requests.
func runHandler(ctx context.Context, h Handler, from Sender, body []byte) (out proto.Message, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("handler panicked: %v", p)
		}
	}()
	return h(ctx, from, body)
}

func errorReply(err error) *drpb.Reply {
	r := &drpb.Reply{
		Reason: drerror.ReasonOf(err).String(), Verdict: drerror.Of(err).String(), Message: err.Error(),
	}
	if e, ok := errors.AsType[*drerror.Error](err); ok && e.RetryAfter > 0 {
		r.RetryAfterMs = uint64(max(e.RetryAfter.Milliseconds(), 1))
	}
	return r
}

// reply writes the reply and closes the stream. If it cannot be written, the
// session ends: the stream's later reset would say that the call did not run.
func (s *session) reply(st *yamux.Stream, r *drpb.Reply) {
	defer st.Close()
	r.Stamp = uint64(s.node.config.Hybrid.Now())
	frame, err := encodeFrame(r)
	if err != nil {
		big := errorReply(drerror.Wrap(drerror.Ran, drerror.TooLarge, err, "encode reply"))
		if frame, err = encodeFrame(big); err != nil {
			s.close()
			return
		}
	}
	_ = st.SetWriteDeadline(time.Now().Add(streamCloseTimeout))
	if _, err := st.Write(frame); err != nil && !errors.Is(err, yamux.ErrStreamClosed) &&
		!errors.Is(err, yamux.ErrConnectionReset) {
		s.close()
	}
}
