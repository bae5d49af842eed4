package drcontroller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtask"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// Config configures a Node.
type Config struct {
	Clock       drfleetview.Clock
	VM          string
	Zone        string
	Address     string // at which other VMs reach this one, "ip:port"
	Incarnation uint64
	Log         drstore.Log
	Codec       drstore.Codec
	Engines     drscheduler.Engines
	Peers       drpeer.Caller
	Registry    drpeer.Registry
	Metrics     *drmetric.Metrics
	View        *drfleetview.View
	Allowances  *drtokenpool.Allowances
	Crashes     *drcrash.Ledger
	// OrderPause is the time within which orders of two VMs in turn would count
	// as those of two controllers at once, 0 if they never do.
	OrderPause time.Duration
	// Propagation is the maximum time until a configuration change takes effect
	// on this VM, and RunnerDrain the maximum time until this VM stops using a
	// runner that leaves.
	Propagation, RunnerDrain time.Duration
	// ColdBound says how many requests a cold runner bears.
	ColdBound drwarmup.Bound
	// RunnerHeartbeat is the interval at which runners write their entries to the
	// store.
	RunnerHeartbeat time.Duration
	// Processor is the part of a core that this process may use, 1 being a full
	// core.
	Processor float64
}

// Node keeps the view of one VM in sync with the store and the controller, and
// runs the controller while this VM holds the lease. Retire, Leader,
// Controlling, PeerAddress and Reserve are safe for concurrent use.
type Node struct {
	Config
	elector *drlease.Elector
	reader  *reader
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	controller atomic.Pointer[Controller]
	// noAcquireBefore is the earliest time at which this VM may acquire the
	// lease again after it released it because no other VM reached it. Only
	// leaseLoop uses it.
	noAcquireBefore time.Time
	// retired is set once this VM must not acquire the lease any more.
	retired atomic.Bool

	// storeFailedAt is the uptime, in nanoseconds, of this VM's last failed call to
	// the store, 0 if none has failed.
	storeFailedAt atomic.Int64
	// storeAnsweredAt is the uptime, in nanoseconds, of the last one that succeeded.
	storeAnsweredAt atomic.Int64

	// table, named, told and copied are used by syncLoop only.
	table  tableReceiver
	named  namedReplicas
	told   toldStreams
	copied copiedStreams

	// leaderLost holds a token if this VM has just lost the controller, and
	// leaderFound one if it has just learned of another.
	leaderLost, leaderFound chan struct{}
	// controllerNamed holds a token if this VM has just learned of another controller,
	// for crashLoop.
	controllerNamed chan struct{}

	mu     sync.Mutex
	leader drlease.Lease
	// former is the controller that this VM last forgot because it did not lead.
	former      drlease.Lease
	reports     uint64    // number of reports so far
	lastReplyAt time.Time // when the controller last replied, zero if it has not or a call failed since
	// reportedTerm is the term of the controller that last replied.
	reportedTerm uint64
	// controllerClock is what this VM knows of the clock of the controller.
	controllerClock controllerClock
	// completeTerm is that of the last reply after which this VM had the whole table.
	completeTerm uint64
	// fullReport is set if the controller may have missed a report, so that the
	// next one must contain all uses instead of the changed ones.
	fullReport bool
	// syncWait is how long the controller may hold the next report if nothing
	// changes.
	syncWait time.Duration
	// maxProcessor is the part of a core that the strongest VM may use, 0 until
	// the controller or the lease has told it.
	maxProcessor float64
	// recordedRunners is the number of runners by the lease, 0 if it states none.
	recordedRunners int

	// distance is that to the controller, which claims on tokens measure.
	distance distance
}

// New returns a Node and registers its handlers for calls from other VMs. It
// does nothing else until Start is called.
func New(c Config) *Node {
	c.Codec = guardedCodec{c.Codec}
	n := &Node{Config: c, fullReport: true, leaderLost: make(chan struct{}, 1), leaderFound: make(chan struct{}, 1), syncWait: minSyncWait,
		controllerNamed: make(chan struct{}, 1),
		table:           tableReceiver{view: c.View}}
	n.reader = newReader(readerConfig{log: c.Log, codec: c.Codec, view: c.View, clock: c.Clock, heartbeat: c.RunnerHeartbeat})
	n.elector = drlease.New(drlease.Config{
		Log: c.Log, Uptime: c.Clock, VM: c.VM, Address: c.Address, Incarnation: c.Incarnation, TTL: LeaseTTL,
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	c.Registry.Handle(methodSync, n.handleSync)
	c.Registry.Handle(methodReserve, n.handleReserve)
	c.Registry.Handle(methodCrash, n.handleCrash)
	c.Registry.Handle(methodStream, n.handleStream)
	return n
}

// Start starts the loops that read the store, hold or follow the lease and
// report to the controller. It returns at once and must be called at most once.
func (n *Node) Start() {
	n.startLoop("deployment-loop", n.deploymentLoop)
	n.startLoop("runners-loop", n.runnersLoop)
	n.startLoop("lease-loop", n.leaseLoop)
	n.startLoop("sync-loop", n.syncLoop)
	n.startLoop("crash-loop", n.crashLoop)
	n.startLoop("alive-loop", n.aliveLoop)
}

// aliveLoop has the view notice that this VM has stood still.
func (n *Node) aliveLoop() {
	for n.ctx.Err() == nil {
		n.View.NoteAlive()
		_ = n.Clock.Sleep(n.ctx, drfleetview.AliveInterval)
	}
}

func (n *Node) startLoop(task string, loop func()) {
	n.wg.Go(func() { drtask.Run(n.ctx, n.Clock, task, loop) })
}

// Retire makes the node release the lease, if this VM holds it, and not acquire
// it again. It returns before the lease is released.
func (n *Node) Retire() { n.retired.Store(true) }

// Close stops all loops, releases the lease and waits until the controller, if
// it runs here, has stopped.
func (n *Node) Close() {
	n.Retire()
	n.cancel()
	n.wg.Wait()
	if c := n.controller.Swap(nil); c != nil {
		c.Close()
	}
}

// Leader returns the lease of the controller that this VM last knew, and
// whether the controller has replied within the last second.
func (n *Node) Leader() (drlease.Lease, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, !n.lastReplyAt.IsZero() && n.Clock.Since(n.lastReplyAt) < time.Second
}

// Controlling reports whether this VM runs the controller.
func (n *Node) Controlling() bool { return n.controller.Load() != nil }

// PeerAddress returns the address of another VM. It returns false for all VMs
// but the controller and the last one, whose addresses are the only ones known.
func (n *Node) PeerAddress(vm string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader.VM == "" {
		return n.former.Address, n.former.VM == vm
	}
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

func (n *Node) handleReserve(ctx context.Context, from drpeer.Sender, body []byte) (proto.Message, error) {
	m := new(drpb.FleetReserveRequest)
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, err
	}
	c := n.controller.Load()
	if c == nil {
		return nil, errLeaseLost
	}
	held, err := c.holdClaim(ctx, m)
	if err != nil {
		return nil, err
	}
	if !c.Holds() {
		return nil, errLeaseLost
	}
	reply, err := c.Reserve(from.VM, m)
	if err != nil {
		return nil, err
	}
	reply.HeldUs = microseconds(held)
	return reply, nil
}
