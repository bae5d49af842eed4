package drcontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// Config configures a Node.
type Config struct {
	Clock       drfleetview.Clock
	VM          string
	Zone        string
	Address     string // of this VM for other VMs, "ip:port"
	Incarnation uint64
	Log         drstore.Log
	Codec       drstore.Codec
	Engines     drscheduler.Engines
	Peers       drpeer.Caller
	Registry    drpeer.Registry
	Metrics     *drmetric.Metrics
	View        *drfleetview.View
	Allowances  *drtokenpool.Allowances
	// OrderPause is the time without orders after the controller has changed,
	// for runners that do not check fencing tokens.
	OrderPause time.Duration
	// Propagation and RunnerDrain are the times within which a change of the
	// configuration and the leaving of a runner must be followed.
	Propagation, RunnerDrain time.Duration
	// Processor is the part of a core that this process may use.
	Processor float64
}

// Node keeps the view of one VM in touch with the store and the controller,
// and runs the controller while this VM holds its lease.
type Node struct {
	Config
	elector *drlease.Elector
	reader  *reader
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	controller atomic.Pointer[Controller]
	// noAcquireBefore is when this VM may acquire the lease again after no other VM
	// reached it; only the lease loop uses it.
	noAcquireBefore time.Time
	// retired is set once this VM must not acquire the lease any more.
	retired atomic.Bool

	mu          sync.Mutex
	leader      drlease.Lease
	lastReplyAt time.Time // when the controller last answered
	term        uint64    // of the table in the view
	// revision of the controller's table that the view has.
	revision uint64
	// fullReport is set if the controller may have missed a report.
	fullReport bool
	syncWait   time.Duration
	// maxProcessor is the largest part of a core that any VM may use, 0 until a
	// controller or the lease has told it.
	maxProcessor float64
}

// New returns a Node. Start starts it.
func New(c Config) *Node {
	n := &Node{Config: c, fullReport: true, syncWait: minSyncWait, reader: newReader(c.Log, c.Codec, c.View, c.Clock)}
	n.elector = drlease.New(drlease.Config{
		Log: c.Log, Uptime: c.Clock, VM: c.VM, Address: c.Address, Incarnation: c.Incarnation, TTL: LeaseTTL,
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	c.Registry.Handle(methodSync, n.handleSync)
	c.Registry.Handle(methodReserve, n.handleReserve)
	return n
}

// Start starts the node's work.
func (n *Node) Start() {
	n.wg.Go(n.deploymentLoop)
	n.wg.Go(n.runnersLoop)
	n.wg.Go(n.leaseLoop)
	n.wg.Go(n.syncLoop)
}

// Retire gives the lease up, if this VM holds it, and does not acquire it
// again.
func (n *Node) Retire() { n.retired.Store(true) }

// Close ends the node.
func (n *Node) Close() {
	n.Retire()
	n.cancel()
	n.wg.Wait()
	if c := n.controller.Swap(nil); c != nil {
		c.Close()
	}
}

// Leader returns the controller that this VM last knew, and whether it has
// answered within the last second.
func (n *Node) Leader() (drlease.Lease, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, !n.lastReplyAt.IsZero() && n.Clock.Since(n.lastReplyAt) < time.Second
}

// Controlling reports whether this VM is the controller.
func (n *Node) Controlling() bool { return n.controller.Load() != nil }

// PeerAddress returns the address of another VM; only the controller's is
// known.
func (n *Node) PeerAddress(vm string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.Address, n.leader.VM == vm
}

func (n *Node) handleSync(ctx context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	m := new(drpb.FleetSyncRequest)
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, err
	}
	c := n.controller.Load()
	if c == nil {
		return &drpb.FleetSyncReply{}, nil
	}
	return c.Sync(ctx, from.VM, from.Incarnation, m), nil
}

func (n *Node) handleReserve(_ context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	m := new(drpb.FleetReserveRequest)
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, err
	}
	c := n.controller.Load()
	if c == nil || !c.Holds() {
		return nil, errLeaseLost
	}
	return c.Reserve(from.VM, m)
}
