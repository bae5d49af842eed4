package drpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// maxMessageBytes bounds an encoded request or reply, in bytes.
	maxMessageBytes = 4 << 20
	// idleTimeout closes a session without calls. At 410 VMs a probe per
	// second to random peers would otherwise keep a session to each of them.
	idleTimeout = time.Minute
	// acceptedIdleTimeout closes an accepted session whose other side, which
	// should have closed it at idleTimeout, has vanished without a trace.
	acceptedIdleTimeout = 2 * idleTimeout
	// sweepInterval is the interval between searches for idle sessions.
	sweepInterval = 10 * time.Second
	// pingInterval and pingTimeout find a frozen peer within 3 s of a call's
	// start. Sessions without calls send no pings: at 410 VMs the pings of
	// some 120 open sessions would exceed the control traffic's 6 KB/s.
	pingInterval = time.Second
	pingTimeout  = 1500 * time.Millisecond
	// dialTimeout bounds a dial, which several calls may share.
	dialTimeout = 2 * time.Second
	// maxCallAttempts bounds the sessions that one call tries.
	maxCallAttempts = 3
	// drainPollInterval is the interval at which Drain looks for running calls.
	drainPollInterval = 10 * time.Millisecond
	// minDialBackoff and maxBackoff bound the pause after failed dials.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// streamCloseTimeout frees a stream whose other side does not close it.
	streamCloseTimeout = 10 * time.Second
	// maxServedCalls bounds the calls served at the same time for one session;
	// further streams wait unread in the peer's window.
	maxServedCalls = 512
)

// Dialer opens connections to other entry VMs.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Config configures a Node.
type Config struct {
	// VM and Incarnation identify this process.
	VM          string
	Incarnation uint64
	// Addresses returns the address of an entry VM ("host:port").
	Addresses func(vm string) (address string, ok bool)
	// Dialer opens connections, with TLS if the deployment uses it.
	Dialer Dialer
	Clock  drclock.Clock
	// Hybrid is moved forward by the stamps received.
	Hybrid *drtimeline.HybridClock
	// Block, if not nil, cuts the direction from this process to a VM while
	// it returns true. Tests use it to inject network faults.
	Block func(vm string) bool
}

// Node calls other entry VMs and serves their calls. It implements Caller and
// Registry.
type Node struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	handlers       map[string]Handler
	links          map[string]*link
	sessions       map[*session]struct{}
	draining       bool
	callsInService atomic.Int64 // calls being served

	// spawnMu orders the start of goroutines before Close waits for them.
	spawnMu sync.Mutex
	wg      sync.WaitGroup
}

// New returns a node. Close ends it.
func New(config Config) *Node {
	if config.Clock == nil {
		config.Clock = drclock.System{}
	}
	if config.Hybrid == nil {
		config.Hybrid = drtimeline.NewHybridClock(config.Clock)
	}
	if config.Block == nil {
		config.Block = func(string) bool { return false }
	}
	n := &Node{
		config: config, handlers: make(map[string]Handler),
		links: make(map[string]*link), sessions: make(map[*session]struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.spawn(n.sweepLoop)
	return n
}

// spawn runs f on a goroutine that Close waits for. It reports false, without
// running f, once the node is closing.
func (n *Node) spawn(f func()) bool {
	n.spawnMu.Lock()
	defer n.spawnMu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.wg.Go(f)
	return true
}

// Handle implements Registry.
func (n *Node) Handle(method string, handler Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = handler
}

func (n *Node) handler(method string) (Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	handler, ok := n.handlers[method]
	return handler, ok
}

// Call implements Caller. A call to this VM runs its handler directly.
func (n *Node) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	if err := ctx.Err(); err != nil {
		return contextError(ctx, drerror.NotRun, vm, method)
	}
	if vm == n.config.VM {
		return n.callLocal(ctx, method, req, resp)
	}
	var err error
	for range maxCallAttempts {
		var s *session
		if s, err = n.link(vm).getSession(ctx); err != nil {
			return err
		}
		if err = s.call(ctx, vm, method, req, resp); err == nil || !refusedBySession(err) {
			return err
		}
	}
	return err
}

// refusedBySession reports whether a call has certainly not run because its
// session was just ending, so that another session may take it.
func refusedBySession(err error) bool {
	return drerror.Of(err) == drerror.NotRun && (errors.Is(err, yamux.ErrRemoteGoAway) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrConnectionReset))
}

func (n *Node) callLocal(ctx context.Context, method string, req, resp proto.Message) error {
	body, err := proto.Marshal(req)
	if err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "encode request of "+method)
	}
	handler, ok := n.handler(method)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.Unimplemented, "method %s is not implemented", method)
	}
	response, err := handler(ctx, Sender{n.config.VM, n.config.Incarnation}, body)
	if err != nil {
		return err
	}
	return copyMessage(response, resp, n.config.VM, method)
}

func copyMessage(from, to proto.Message, vm, method string) error {
	if from == nil || to == nil {
		return nil
	}
	b, err := proto.Marshal(from)
	if err != nil {
		return drerror.Wrap(drerror.Ran, drerror.Internal, err, "encode reply of "+method)
	}
	return decodeReply(b, to, vm, method)
}

func decodeReply(body []byte, resp proto.Message, vm, method string) error {
	if resp == nil {
		return nil
	}
	return drerror.Wrap(drerror.Ran, drerror.Internal, proto.Unmarshal(body, resp),
		"decode reply of "+method+" from "+vm)
}

// contextError returns the error of a call that ended with its context.
func contextError(ctx context.Context, verdict drerror.Verdict, vm, method string) error {
	reason := drerror.CallerGone
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = drerror.Deadline
	}
	return drerror.Wrap(verdict, reason, context.Cause(ctx), "call "+method+" on "+vm)
}

func (n *Node) link(vm string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[vm]
	if !ok {
		l = &link{node: n, vm: vm}
		n.links[vm] = l
	}
	return l
}

// ServeConn serves the calls of an accepted connection until it ends.
func (n *Node) ServeConn(conn net.Conn) {
	s, err := newSession(n, conn, "", false)
	if err != nil {
		_ = conn.Close()
		return
	}
	s.serve()
}

// reuseAccepted uses an accepted session for calls to the VM that opened it.
func (n *Node) reuseAccepted(s *session, vm string) {
	if vm != "" && vm != n.config.VM {
		n.link(vm).setActiveIfNone(s)
	}
}

// addSession keeps a new session until remove, and reports whether the node drains.
func (n *Node) addSession(s *session) (draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[s] = struct{}{}
	return n.draining
}

func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}

// Drain refuses new calls of other VMs, which their callers report as not
// run, and waits until the running ones have been answered or ctx ends. Calls
// to other VMs stay possible.
func (n *Node) Drain(ctx context.Context) error {
	n.mu.Lock()
	n.draining = true
	var sessions []*session
	for s := range n.sessions {
		sessions = append(sessions, s)
	}
	n.mu.Unlock()
	for _, s := range sessions {
		n.spawn(func() { _ = s.mux.GoAway() })
	}
	for n.callsInService.Load() > 0 {
		if err := n.config.Clock.Sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all sessions and waits until their goroutines have ended.
func (n *Node) Close() error {
	n.spawnMu.Lock()
	n.cancel()
	n.spawnMu.Unlock()
	n.wg.Wait()
	return nil
}

// sweepLoop closes idle sessions and forgets links without one.
func (n *Node) sweepLoop() {
	for n.config.Clock.Sleep(n.ctx, sweepInterval) == nil {
		n.mu.Lock()
		for s := range n.sessions {
			if !s.dialled && s.idle(acceptedIdleTimeout) {
				s.retire()
			}
		}
		for vm, l := range n.links {
			if l.sweep() {
				delete(n.links, vm)
			}
		}
		n.mu.Unlock()
	}
}
