package drpeer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

func TestMain(m *testing.M) {
	// The goroutines of gnet's worker pool run until the process ends.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// network is a set of nodes that call each other over the loopback interface.
type network struct {
	t             *testing.T
	mu            sync.Mutex
	addresses     map[string]string
	dialer        *countingDialer
	cutDirections sync.Map // the keys are [2]string{from, to}
}

// countingDialer counts dials and delays each by 10 ms.
type countingDialer struct {
	*drnet.Dialer
	dials atomic.Int32
}

func (d *countingDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.dials.Add(1)
	time.Sleep(10 * time.Millisecond) // concurrent callers arrive meanwhile
	return d.Dialer.Dial(ctx, address)
}

func newNetwork(t *testing.T) *network {
	d, err := drnet.NewDialer(drnet.Config{Loops: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return &network{t: t, addresses: make(map[string]string), dialer: &countingDialer{Dialer: d}}
}

func (w *network) address(vm string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.addresses[vm]
	return a, ok
}

// startNode starts a node with the method Echo, which returns the request's
// text with the sender's name in front, and a server for it.
func (w *network) startNode(vm string, clock drclock.Clock) *Node {
	w.t.Helper()
	n := New(Config{
		VM: vm, Incarnation: 7, Addresses: w.address, Dialer: w.dialer, Clock: clock,
		Block: func(to string) bool { _, cut := w.cutDirections.Load([2]string{vm, to}); return cut },
	})
	n.Handle("Echo", func(_ context.Context, from Sender, body []byte) (proto.Message, error) {
		v := new(wrapperspb.BytesValue)
		if err := proto.Unmarshal(body, v); err != nil {
			return nil, err
		}
		v.Value = append([]byte(from.VM+":"), v.Value...)
		return v, nil
	})
	s, err := drnet.Listen(drnet.Config{Address: "127.0.0.1:0", Handler: n.ServeConn, Loops: 1})
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.addresses[vm] = s.Addr().String()
	w.mu.Unlock()
	w.t.Cleanup(func() {
		_ = n.Close()
		_ = s.Close(context.Background())
	})
	return n
}

func echo(ctx context.Context, n *Node, vm, text string) (string, error) {
	resp := new(wrapperspb.BytesValue)
	err := n.Call(ctx, vm, "Echo", wrapperspb.Bytes([]byte(text)), resp)
	return string(resp.Value), err
}

func contextWithin(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func requireError(t *testing.T, err error, verdict drerror.Verdict, reason drerror.Reason) {
	t.Helper()
	if err == nil || drerror.VerdictOf(err) != verdict || drerror.ReasonOf(err) != reason {
		t.Fatalf("got %v (%v, %v), want %v, %v", err, drerror.VerdictOf(err), drerror.ReasonOf(err), verdict, reason)
	}
}

// Guards against one dial per caller when many callers call a peer without a
// session at once, and against replies that reach another caller.
func TestConcurrentCallersShareOneSession(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	a, b := w.startNode("a", nil), w.startNode("b", nil)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			text := string(rune('A' + i))
			got, err := echo(contextWithin(t, 5*time.Second), a, "b", text)
			is.NoErr(err)
			is.Equal(got, "a:"+text)
		})
	}
	wg.Wait()
	_, err := echo(contextWithin(t, time.Second), b, "a", "back") // over the same session
	is.NoErr(err)
	is.Equal(w.dialer.dials.Load(), int32(1))
	got, err := echo(t.Context(), a, "a", "self")
	is.NoErr(err)
	is.Equal(got, "a:self")
	big := string(bytes.Repeat([]byte("x"), 3<<20)) // exceeds a stream's window
	got, err = echo(contextWithin(t, 5*time.Second), a, "b", big)
	is.NoErr(err)
	is.Equal(len(got), len(big)+2)
}

// lateContext is a context whose deadline passes when passed is closed, so that a busy
// machine cannot delay a call beyond it.
type lateContext struct {
	context.Context
	passed chan struct{}
}

func (c lateContext) Deadline() (time.Time, bool) { return time.Now().Add(time.Minute), true }
func (c lateContext) Done() <-chan struct{}       { return c.passed }

func (c lateContext) Err() error {
	select {
	case <-c.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against errors with a wrong verdict: NotRun for a call that may have
// run makes its caller repeat it, and MayHaveRun for one that has not run keeps
// its caller from a safe retry.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	a, b := w.startNode("a", nil), w.startNode("b", nil)
	b.Handle("Refuse", func(context.Context, Sender, []byte) (proto.Message, error) {
		return nil, drerror.New(drerror.NotRun, drerror.OverRate, "slow down").WithRetryAfter(3 * time.Second)
	})
	b.Handle("Fail", func(context.Context, Sender, []byte) (proto.Message, error) { return nil, errors.New("broken") })
	b.Handle("Panic", func(context.Context, Sender, []byte) (proto.Message, error) { panic("fault") })
	begun, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	b.Handle("Hang", func(ctx context.Context, _ Sender, _ []byte) (proto.Message, error) {
		begun <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, ctx.Err()
	})
	b.Handle("Large", func(context.Context, Sender, []byte) (proto.Message, error) {
		return wrapperspb.Bytes(make([]byte, maxMessageBytes)), nil
	})
	empty := new(wrapperspb.BytesValue)
	call := func(ctx context.Context, vm, method string) error { return a.Call(ctx, vm, method, empty, nil) }
	ctx := contextWithin(t, 5*time.Second)

	err := call(ctx, "b", "Refuse")
	requireError(t, err, drerror.NotRun, drerror.OverRate)
	var drErr *drerror.Error
	is.True(errors.As(err, &drErr) && drErr.RetryAfter == 3*time.Second)
	requireError(t, call(ctx, "b", "Fail"), drerror.MayHaveRun, drerror.Internal)
	requireError(t, call(ctx, "b", "Panic"), drerror.MayHaveRun, drerror.Internal)
	requireError(t, call(ctx, "b", "Nothing"), drerror.NotRun, drerror.Unimplemented)
	requireError(t, call(ctx, "a", "Nothing"), drerror.NotRun, drerror.Unimplemented)
	requireError(t, call(ctx, "b", "Large"), drerror.Ran, drerror.TooLarge)
	requireError(t, call(ctx, "unknown", "Echo"), drerror.NotRun, drerror.Unavailable)
	w.addresses["down"] = "127.0.0.1:1"
	requireError(t, call(ctx, "down", "Echo"), drerror.NotRun, drerror.Unavailable)
	err = call(ctx, "down", "Echo")
	requireError(t, err, drerror.NotRun, drerror.Unavailable)
	is.True(errors.As(err, &drErr) && drErr.RetryAfter > 0) // the second call waits for the back-off and does not dial
	_, err = echo(ctx, a, "b", string(make([]byte, maxMessageBytes)))
	requireError(t, err, drerror.NotRun, drerror.TooLarge)

	late := lateContext{Context: t.Context(), passed: make(chan struct{})}
	go func() {
		<-begun
		close(late.passed)
	}()
	requireError(t, call(late, "b", "Hang"), drerror.MayHaveRun, drerror.Deadline)
	cancelled, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	requireError(t, call(cancelled, "b", "Hang"), drerror.MayHaveRun, drerror.CallerGone)
	for range 2 {
		select {
		case <-ended:
		case <-ctx.Done():
			t.Fatal("the handler's context did not end with its caller's")
		}
	}
	requireError(t, call(cancelled, "b", "Echo"), drerror.NotRun, drerror.CallerGone)
}

// Guards against a call that waits for its distant deadline while the network
// loses everything in one direction, and against a peer that stays unreachable
// after the network has recovered.
func TestOneWayCut(t *testing.T) {
	for _, cut := range [][2]string{{"a", "b"}, {"b", "a"}} {
		t.Run(cut[0]+" to "+cut[1], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newNetwork(t)
			a := w.startNode("a", nil)
			w.startNode("b", nil)
			_, err := echo(contextWithin(t, time.Second), a, "b", "x")
			is.NoErr(err)
			w.cutDirections.Store(cut, true)
			begin := time.Now()
			_, err = echo(contextWithin(t, 20*time.Second), a, "b", "x")
			is.True(err != nil)
			is.True(time.Since(begin) < 4*time.Second) // 3 s for the pings, 1 s for scheduling
			is.True(drerror.ReasonOf(err) == drerror.Unavailable)
			w.cutDirections.Delete(cut)
			_, err = echo(contextWithin(t, 3*time.Second), a, "b", "x")
			is.NoErr(err)
		})
	}
}

// Guards against a call that waits for its distant deadline when the peer's
// process is stopped, as by SIGSTOP: the peer's kernel still accepts
// connections and acknowledges data.
func TestFrozenPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newNetwork(t)
	a := w.startNode("a", nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	w.mu.Lock()
	w.addresses["frozen"] = ln.Addr().String()
	w.mu.Unlock()
	begin := time.Now()
	_, err = echo(contextWithin(t, 20*time.Second), a, "frozen", "x")
	requireError(t, err, drerror.MayHaveRun, drerror.Unavailable)
	is.True(time.Since(begin) < 4*time.Second) // 3 s for the pings, 1 s for scheduling
	_, err = echo(contextWithin(t, 100*time.Millisecond), a, "frozen", "x")
	requireError(t, err, drerror.MayHaveRun, drerror.Deadline)
}

// Guards against sessions without calls that stay open for ever, and against
// calls that fail after the session was closed.
func TestIdleSessionIsClosed(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	clock := drclock.NewFake(time.Unix(1e9, 0))
	a := w.startNode("a", clock)
	w.startNode("b", nil)
	_, err := echo(contextWithin(t, time.Second), a, "b", "x")
	is.NoErr(err)
	s := a.link("b").activeSession
	for !s.mux.IsClosed() {
		clock.Advance(sweepInterval)
		time.Sleep(time.Millisecond)
		is.True(clock.Now().Before(time.Unix(1e9, 0).Add(time.Hour)))
	}
	is.True(clock.Since(time.Unix(1e9, 0)) >= idleTimeout)
	_, err = echo(contextWithin(t, time.Second), a, "b", "x")
	is.NoErr(err)
}

// Guards against a drain that ends a running call, that accepts new ones, or
// that keeps the draining VM from calling others.
func TestDrain(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	a, b := w.startNode("a", nil), w.startNode("b", nil)
	started, finish := make(chan struct{}), make(chan struct{})
	b.Handle("Slow", func(context.Context, Sender, []byte) (proto.Message, error) {
		close(started)
		<-finish
		return nil, nil
	})
	answered, drained := make(chan error, 1), make(chan error, 1)
	go func() {
		answered <- a.Call(contextWithin(t, 5*time.Second), "b", "Slow", new(wrapperspb.BytesValue), nil)
	}()
	<-started
	go func() { drained <- b.Drain(contextWithin(t, 5*time.Second)) }()
	for {
		if _, err := echo(contextWithin(t, time.Second), a, "b", "x"); err != nil {
			requireError(t, err, drerror.NotRun, drerror.Unavailable)
			break
		}
	}
	is.Equal(len(drained), 0)
	_, err := echo(contextWithin(t, time.Second), b, "a", "x")
	is.NoErr(err)
	close(finish)
	is.NoErr(<-answered)
	is.NoErr(<-drained)
}

// openRawSession opens a yamux session to a node without using package drpeer,
// so that a test can send what a Node does not.
func (w *network) openRawSession(vm string) *yamux.Session {
	w.t.Helper()
	address, _ := w.address(vm)
	c, err := net.Dial("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	s, err := yamux.Client(c, cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { s.Close() })
	return s
}

// Guards against a hostile peer that announces an oversize request. The reply
// must say NotRun, because no handler has seen the request.
func TestOversizeRequestIsRefused(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	w.startNode("b", nil)
	st, err := w.openRawSession("b").OpenStream()
	is.NoErr(err)
	_, err = st.Write(binary.AppendUvarint(nil, 1<<40))
	is.NoErr(err)
	reply := new(drpb.Reply)
	is.NoErr(st.SetReadDeadline(time.Now().Add(5 * time.Second)))
	is.NoErr(readFrame(bufio.NewReader(st), reply))
	is.Equal(reply.GetReason(), drerror.MalformedRequest.String())
	is.Equal(reply.GetVerdict(), drerror.NotRun.String())
}

// Guards against accepted sessions that stay open for ever because the VM that
// opened them vanished without closing its connection.
func TestHalfOpenPeerIsForgotten(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	clock := drclock.NewFake(time.Unix(1e9, 0))
	w.startNode("b", clock)
	s := w.openRawSession("b")
	_, err := s.Ping() // the session is established
	is.NoErr(err)
	for !s.IsClosed() {
		clock.Advance(sweepInterval)
		time.Sleep(time.Millisecond)
		is.True(clock.Now().Before(time.Unix(1e9, 0).Add(time.Hour)))
	}
	is.True(clock.Since(time.Unix(1e9, 0)) >= acceptedIdleTimeout)
}

// BenchmarkCall measures a call with a request of 100 bytes and an empty reply,
// without TLS.
func BenchmarkCall(b *testing.B) {
	w := &network{addresses: make(map[string]string)}
	d, err := drnet.NewDialer(drnet.Config{})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	w.dialer = &countingDialer{Dialer: d}
	server := New(Config{VM: "b", Addresses: w.address, Dialer: w.dialer})
	defer server.Close()
	server.Handle("Nothing", func(context.Context, Sender, []byte) (proto.Message, error) { return nil, nil })
	s, err := drnet.Listen(drnet.Config{Address: "127.0.0.1:0", Handler: server.ServeConn})
	if err != nil {
		b.Fatal(err)
	}
	w.addresses["b"] = s.Addr().String()
	client := New(Config{VM: "a", Addresses: w.address, Dialer: w.dialer})
	defer client.Close()
	req := wrapperspb.Bytes(make([]byte, 100))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if err := client.Call(context.Background(), "b", "Nothing", req, nil); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// Guards against stamps that do not order what a handler does after what its
// caller did: the receiver must move its clock to the stamp of a sender whose
// clock is 30 s ahead.
func TestStampsAreObserved(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t)
	aheadClock := drtimeline.NewHybridClock(drclock.NewFake(time.Now().Add(30 * time.Second)))
	a, b := w.startNode("a", nil), w.startNode("b", nil)
	a.config.Hybrid = aheadClock
	_, err := echo(contextWithin(t, time.Second), a, "b", "x")
	is.NoErr(err)
	is.True(b.config.Hybrid.Now().Time().After(time.Now().Add(20 * time.Second)))
}

// Guards against a frame that announces much more than it sends, by which a
// hostile peer could make the receiver allocate maxMessageBytes per stream.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	is := is.New(t)
	data := append(binary.AppendUvarint(nil, maxMessageBytes), 1, 2, 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := readFrame(bufio.NewReader(bytes.NewReader(data)), new(drpb.Request))
	runtime.ReadMemStats(&after)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(after.TotalAlloc-before.TotalAlloc < maxMessageBytes/4)
}

// Guards against frames that crash the decoder or exceed the limit, and against
// truncated frames that are taken for the end of the stream.
func FuzzReadFrame(f *testing.F) {
	valid, err := encodeFrame(&drpb.Request{Method: "Echo", Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(binary.AppendUvarint(nil, maxMessageBytes+1))
	f.Add(append(binary.AppendUvarint(nil, maxMessageBytes), 1, 2, 3))
	f.Add(bytes.Repeat([]byte{0xff}, 20))
	f.Fuzz(func(t *testing.T, data []byte) {
		req := new(drpb.Request)
		err := readFrame(bufio.NewReader(bytes.NewReader(data)), req)
		if size, k := binary.Uvarint(data); k > 0 && size > maxMessageBytes && !errors.Is(err, errTooLarge) {
			t.Fatalf("readFrame of an oversize frame returned %v", err)
		}
		if errors.Is(err, io.EOF) && len(data) > 0 {
			t.Fatal("a truncated frame looks like the end of the stream")
		}
	})
}
