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

// States of an outgoing call. A call that ended with its context before
// sending is certain not to have run.
const (
	callOpening int32 = iota
	callSending
	callAbandoned
)

// exchange is one outgoing call. It runs on its own goroutine, because yamux
// may hold a stream's opening or writing up beyond the caller's context.
type exchange struct {
	session    *session
	vm, method string
	frame      []byte
	state      atomic.Int32
}

// call sends a request and waits for its reply.
func (s *session) call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	x := &exchange{session: s, vm: vm, method: method}
	var err error
	if x.frame, err = s.encodeRequest(ctx, method, req); err != nil {
		r := drerror.MalformedRequest
		if errors.Is(err, errTooLarge) {
			r = drerror.TooLarge
		}
		return drerror.Wrap(drerror.NotRun, r, err, "call "+method+" on "+vm)
	}
	type result struct {
		reply *drpb.Reply
		err   error
	}
	done := make(chan result, 1)
	s.begin()
	go func() {
		defer s.end()
		r, err := x.run(ctx)
		done <- result{r, err}
	}()
	select {
	case r := <-done:
		if r.err != nil && ctx.Err() != nil {
			return contextError(ctx, drerror.Of(r.err), vm, method)
		}
		if r.err != nil {
			return r.err
		}
		return s.finish(r.reply, resp, vm, method)
	case <-ctx.Done():
		v := drerror.MayHaveRun
		if x.state.CompareAndSwap(callOpening, callAbandoned) {
			v = drerror.NotRun
		}
		return contextError(ctx, v, vm, method)
	}
}

func (s *session) encodeRequest(ctx context.Context, method string, req proto.Message) ([]byte, error) {
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	c := s.node.config
	r := &drpb.Request{
		Version: Version, Method: method, From: c.VM, Incarnation: c.Incarnation,
		Body: body, Stamp: uint64(c.Hybrid.Now()),
	}
	if at, ok := ctx.Deadline(); ok {
		r.TimeoutMs = uint64(max(time.Until(at).Milliseconds(), 1))
	}
	return encodeFrame(r)
}

// run opens a stream, writes the request and reads the reply.
func (x *exchange) run(ctx context.Context) (*drpb.Reply, error) {
	st, err := x.session.mux.OpenStream()
	if err != nil {
		x.session.refuse()
		return nil, x.failed(drerror.NotRun, err, "open stream")
	}
	defer st.Close()
	if !x.state.CompareAndSwap(callOpening, callSending) {
		return nil, x.failed(drerror.NotRun, context.Cause(ctx), "send request")
	}
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if n, err := st.Write(x.frame); err != nil {
		return nil, x.failed(writeVerdict(n, len(x.frame), err), err, "send request")
	}
	reply := new(drpb.Reply)
	if err := readFrame(bufio.NewReader(st), reply); err != nil {
		v := drerror.MayHaveRun
		if errors.Is(err, yamux.ErrConnectionReset) {
			// Only streams that were never accepted are reset: the peer is
			// retiring the session or has too many streams waiting.
			v = drerror.NotRun
		}
		return nil, x.failed(v, err, "read reply")
	}
	return reply, nil
}

// writeVerdict tells whether the peer can have received the whole request
// after an error that came when n of total bytes were sent. These errors are
// returned before a frame is queued; after others the last frame may be sent.
func writeVerdict(n, total int, err error) drerror.Verdict {
	queued := !errors.Is(err, yamux.ErrStreamClosed) && !errors.Is(err, yamux.ErrConnectionReset) &&
		!errors.Is(err, yamux.ErrTimeout)
	if n < total && !queued {
		return drerror.NotRun
	}
	return drerror.MayHaveRun
}

func (x *exchange) failed(v drerror.Verdict, err error, what string) error {
	return drerror.Wrap(v, drerror.Unavailable, err, what+" of "+x.method+" on "+x.vm)
}

// finish turns a reply into the call's result.
func (s *session) finish(r *drpb.Reply, resp proto.Message, vm, method string) error {
	s.node.config.Hybrid.Observe(drtimeline.Stamp(r.GetStamp()))
	if r.GetReason() == "" {
		return decodeReply(r.GetBody(), resp, vm, method)
	}
	return drerror.New(drerror.ParseVerdict(r.GetVerdict()), drerror.ParseReason(r.GetReason()),
		"%s on %s: %s", method, vm, r.GetMessage()).
		WithRetryAfter(time.Duration(r.GetRetryAfterMs()) * time.Millisecond)
}
