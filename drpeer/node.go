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
	// maxMessageBytes bounds an encoded request or reply.
	maxMessageBytes = 4 << 20
	// idleTimeout is how long a session without calls stays open. With 410
	// VMs and a probe per second to random peers, each VM would otherwise
	// keep a session to every other.
	idleTimeout = time.Minute
	// acceptedIdleTimeout is how long an accepted session without calls stays
	// open. The side that dialled closes it after idleTimeout; this longer
	// limit applies if that side vanished without closing the connection.
	acceptedIdleTimeout = 2 * idleTimeout
	// sweepInterval is the interval between checks for idle sessions.
	sweepInterval = 10 * time.Second
	// pingInterval and pingTimeout detect a frozen peer within 3 s of a call's
	// start. Sessions without calls send no pings: with 410 VMs, the pings of
	// some 120 open sessions would exceed the 6 KB/s of control traffic.
	pingInterval = time.Second
	pingTimeout  = 1500 * time.Millisecond
	// dialTimeout bounds a dial, which several calls may share.
	dialTimeout = 2 * time.Second
	// maxCallAttempts is the number of sessions on which a call is tried while
	// each of them ends without having run it.
	maxCallAttempts = 3
	// drainPollInterval is the interval at which Drain checks whether calls
	// still run.
	drainPollInterval = 10 * time.Millisecond
	// minDialBackoff and maxDialBackoff bound the pause after failed dials,
	// before jitter.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// streamCloseTimeout bounds the write of a reply, and the time after which
	// a closed stream is freed although its other side does not close it.
	streamCloseTimeout = 10 * time.Second
	// maxServedCalls bounds the calls of one session that are served at the
	// same time. Further streams stay unread, so that flow control holds
	// their requests back at the peer.
	maxServedCalls = 512
)

// Dialer opens connections to other entry VMs. It must be safe for concurrent
// use. Dial must return when ctx ends.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Config configures a Node. Clock, Hybrid and Block may be nil.
type Config struct {
	// VM and Incarnation identify this process. Both are sent with each
	// request.
	VM          string
	Incarnation uint64
	// Addresses returns the address of an entry VM ("host:port"), or false if
	// it is unknown. Each dial calls it.
	Addresses func(vm string) (address string, ok bool)
	// Dialer opens connections, with TLS if the deployment uses it.
	Dialer Dialer
	// Clock is the clock for timeouts and pauses; nil means the system clock.
	Clock drclock.Clock
	// Hybrid stamps the messages sent and is moved forward by the stamps
	// received. nil means a new one that is based on Clock.
	Hybrid *drtimeline.HybridClock
	// Block, if not nil, reports whether to hold back everything that this
	// process sends to a VM. Tests use it to inject network faults.
	Block func(vm string) bool
}

// Node calls other entry VMs and serves their calls. It implements Caller and
// Registry, and is safe for concurrent use.
type Node struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	handlers map[string]Handler
	links    map[string]*link
	sessions map[*session]struct{}
	draining bool
	// callsInService is the number of calls of other VMs that are being served.
	callsInService atomic.Int64

	// spawnMu makes sure that no goroutine starts after Close has begun to
	// wait for them.
	spawnMu sync.Mutex
	wg      sync.WaitGroup
}

// New returns a node that can call other VMs at once. It serves the connections
// that the owner passes to ServeConn. Close ends its goroutines.
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

// Handle implements Registry. It replaces an earlier handler of the method.
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

// Call implements Caller. A call to another VM returns at the latest when ctx
// ends. A call to this VM runs its handler on the caller's goroutine.
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
// session was ending, so that it can be tried again on another session.
func refusedBySession(err error) bool {
	return drerror.VerdictOf(err) == drerror.NotRun && (errors.Is(err, yamux.ErrRemoteGoAway) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrConnectionReset))
}

// callLocal runs the handler of this process without a session. It encodes
// request and reply nevertheless, so that caller and handler share no message.
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

// copyMessage encodes from and decodes it to to. It does nothing if either is
// nil.
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

// decodeReply decodes body to resp, or drops it if resp is nil: the caller is
// then not interested in the reply.
func decodeReply(body []byte, resp proto.Message, vm, method string) error {
	if resp == nil {
		return nil
	}
	return drerror.Wrap(drerror.Ran, drerror.Internal, proto.Unmarshal(body, resp),
		"decode reply of "+method+" from "+vm)
}

// contextError returns the error of a call whose context ended first: Deadline
// if the deadline passed, CallerGone otherwise.
func contextError(ctx context.Context, verdict drerror.Verdict, vm, method string) error {
	reason := drerror.CallerGone
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = drerror.Deadline
	}
	return drerror.Wrap(verdict, reason, context.Cause(ctx), "call "+method+" on "+vm)
}

// link returns the link to a VM, which it creates if there is none.
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

// ServeConn serves the calls of an accepted connection and returns when the
// connection has ended and its handlers have returned.
func (n *Node) ServeConn(conn net.Conn) {
	s, err := newSession(n, conn, "", false)
	if err != nil {
		_ = conn.Close()
		return
	}
	s.serve()
}

// reuseAccepted makes an accepted session available for calls to the VM that
// opened it.
func (n *Node) reuseAccepted(s *session, vm string) {
	if vm != "" && vm != n.config.VM {
		n.link(vm).setActiveIfNone(s)
	}
}

// addSession registers a session until removeSession is called, and reports
// whether the node is draining.
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

// Drain refuses new calls of other VMs and waits until the running ones have
// been answered or ctx ends. The callers of refused calls get NotRun. Calls to
// other VMs stay possible.
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

// sweepLoop closes idle sessions and deletes links that hold no state.
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
