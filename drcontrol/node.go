package drcontrol

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drplan"
	"github.com/dotterelridge/dotterelridge/drquota"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drview"
)

const (
	// LeaseTTL is how long the lease of a controller is valid without renewal.
	LeaseTTL = 1600 * time.Millisecond
	// renewInterval leaves time for several renewals within LeaseTTL.
	renewInterval = 450 * time.Millisecond
	// leasePoll is how often a VM without a controller reads the lease.
	leasePoll = 250 * time.Millisecond
	// acquireSpread spreads the attempts of VMs to take a vacant lease, and
	// weakDelay holds VMs back that lack a core compared with the strongest.
	acquireSpread = 150 * time.Millisecond
	weakDelay     = 700 * time.Millisecond
	// storeLimit bounds one call to the store for the lease.
	storeLimit = 1200 * time.Millisecond
	// releaseLimit bounds the release of the lease at the end of a process.
	releaseLimit = 500 * time.Millisecond
	// deploymentWait and runnersPause set the pace at which the controller
	// reads the store.
	deploymentWait = 700 * time.Millisecond
	runnersPause   = 600 * time.Millisecond
	// staleAfter is the age at which a VM reads the store itself.
	staleAfter = 1200 * time.Millisecond
	// readPause is the pause after a failed read of the store; it doubles up to
	// maxReadPause, so that all VMs together do not press a store that is down.
	readPause    = 200 * time.Millisecond
	maxReadPause = 800 * time.Millisecond
	// stalePoll is how often a VM looks whether its view has become stale.
	stalePoll = 100 * time.Millisecond
	// deafAfter is how long a controller that no other VM reports to keeps its
	// lease, if others did report before.
	deafAfter = 2 * time.Second
)

// Config configures a Node.
type Config struct {
	Clock       drview.Clock
	VM          string
	Zone        string
	Address     string // of this VM for other VMs, "ip:port"
	Incarnation uint64
	Log         drstore.Log
	Codec       drstore.Codec
	Engines     drplan.Engines
	Peers       drpeer.Caller
	Registry    drpeer.Registry
	Metrics     *drmetric.Metrics
	View        *drview.View
	Allowances  *drquota.Allowances
	// OrderPause is the time without orders after the controller has changed,
	// for runners that do not check fencing tokens.
	OrderPause time.Duration
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
	// retired is set once this VM must not acquire the lease any more.
	retired atomic.Bool

	mu      sync.Mutex
	leader  drlease.Lease
	heardAt time.Time // when the controller last answered
	term    uint64    // of the table in the view
	// revision of the controller's table that the view has.
	revision uint64
	// tellAll is set if the controller may have missed a report.
	tellAll  bool
	syncWait time.Duration
	// mostProcessor is the largest part of a core that any VM may use; a full
	// one until a controller has told it.
	mostProcessor float64
}

// New returns a Node. Start starts it.
func New(c Config) *Node {
	n := &Node{Config: c, tellAll: true, syncWait: minSyncWait, mostProcessor: 1, reader: newReader(c.Log, c.Codec, c.View, c.Clock)}
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
	return n.leader, !n.heardAt.IsZero() && n.Clock.Since(n.heardAt) < time.Second
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

// backoff is the pause between attempts to read the store.
type backoff struct{ pause time.Duration }

// next returns the pause after an attempt that failed or not.
func (b *backoff) next(failed bool) time.Duration {
	if !failed {
		b.pause = 0
		return readPause
	}
	b.pause = min(max(2*b.pause, readPause), maxReadPause)
	return b.pause/2 + rand.N(b.pause/2+1)
}

// deploymentLoop keeps the configuration fresh.
func (n *Node) deploymentLoop() {
	unreachable := false
	var b backoff
	for n.ctx.Err() == nil {
		age, _, known := n.View.Ages()
		if known && age < staleAfter && n.controller.Load() == nil {
			_ = n.Clock.Sleep(n.ctx, stalePoll)
			continue
		}
		wait := deploymentWait
		if !known {
			wait = 0
		}
		err := n.reader.readDeployment(n.ctx, wait)
		unreachable = n.noteStore(unreachable, "deployments", err)
		if d, _ := n.View.Deployment(); d != nil {
			n.Allowances.SetLimits(limitsOf(d))
		}
		if pause := b.next(err != nil); err != nil || !known {
			_ = n.Clock.Sleep(n.ctx, pause)
		}
	}
}

// noteStore logs when a topic of the store is lost or regained.
func (n *Node) noteStore(was bool, topic string, err error) bool {
	if n.ctx.Err() != nil || (err != nil) == was {
		return was
	}
	if err != nil {
		log.WithFields(log.Fields{"event": "store-lost", "topic": topic}).WithError(err).Warn("")
		return true
	}
	log.WithFields(log.Fields{"event": "store-regained", "topic": topic}).Info("")
	return false
}

// runnersLoop keeps the runner table fresh.
func (n *Node) runnersLoop() {
	unreachable := false
	var b backoff
	for n.ctx.Err() == nil {
		_, age, known := n.View.Ages()
		if known && age < staleAfter && n.controller.Load() == nil {
			_ = n.Clock.Sleep(n.ctx, stalePoll)
			continue
		}
		err := n.reader.readRunners(n.ctx)
		unreachable = n.noteStore(unreachable, "runners", err)
		pause := b.next(err != nil)
		if err == nil && known {
			pause = runnersPause
		}
		_ = n.Clock.Sleep(n.ctx, pause)
	}
}

// leaseLoop acquires, renews and gives up the lease.
func (n *Node) leaseLoop() {
	var b backoff
	for n.ctx.Err() == nil {
		pause := leasePoll
		switch c := n.controller.Load(); {
		case c != nil && n.mustResign(c):
			n.resign(c)
		case c != nil:
			n.renew(c)
			pause = renewInterval
		case n.hasLeader():
		default:
			if failed := n.seekLeader(); failed {
				pause = b.next(true)
			} else {
				b.next(false)
				pause = n.seekPause()
			}
		}
		_ = n.Clock.Sleep(n.ctx, pause)
	}
	if c := n.controller.Load(); c != nil {
		n.resign(c)
	}
}

func (n *Node) hasLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.VM != "" && !n.heardAt.IsZero() && n.Clock.Since(n.heardAt) < maxSyncWait+syncLimit
}

// mustResign reports whether this VM should no longer be the controller.
func (n *Node) mustResign(c *Controller) bool {
	return n.retired.Load() || c.deaf(n.Clock.Now())
}

// deaf reports whether other VMs reported to this controller before, but none
// has for a while.
func (c *Controller) deaf(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for name, v := range c.vms {
		if name != c.Holder && v.heard.After(last) {
			last = v.heard
		}
	}
	return !last.IsZero() && now.Sub(last) > deafAfter
}

func (n *Node) resign(c *Controller) {
	n.controller.Store(nil)
	c.Close()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), releaseLimit)
	defer cancel()
	err := n.elector.Release(ctx)
	entry := log.WithFields(log.Fields{"event": "controller-resigned", "term": c.Term, "retired": n.retired.Load()})
	if err != nil {
		entry.WithError(err).Warn("")
	} else {
		entry.Info("")
	}
	n.setLeader(drlease.Lease{})
}

// renew extends the lease, or ends the controller once it has lapsed.
func (n *Node) renew(c *Controller) {
	ctx, cancel := context.WithTimeout(n.ctx, storeLimit)
	defer cancel()
	err := n.elector.Renew(ctx, c.VMs())
	if errors.Is(err, drstore.ErrConflict) {
		err = n.elector.Read(ctx)
	}
	if newest, _ := n.elector.Newest(); newest.Term != c.Term || !c.Holds() {
		n.controller.Store(nil)
		c.Close()
		log.WithFields(log.Fields{"event": "lease-lost", "term": c.Term, "newest-term": newest.Term,
			"newest-vm": newest.VM}).Warn("")
		n.setLeader(drlease.Lease{})
		return
	}
	if err != nil {
		log.WithFields(log.Fields{"event": "lease-renewal-failed", "term": c.Term}).WithError(err).Warn("")
	}
}

// seekPause returns the time until the lease should be read again: soon if
// another VM may be taking it, else when it is renewed or lapses.
func (n *Node) seekPause() time.Duration {
	if n.elector.Vacant() {
		return leasePoll
	}
	return renewInterval
}

// seekLeader finds the controller in the lease, or takes a vacant lease. It
// reports whether the store failed.
func (n *Node) seekLeader() (failed bool) {
	ctx, cancel := context.WithTimeout(n.ctx, storeLimit)
	defer cancel()
	if err := n.elector.Read(ctx); err != nil {
		return true // the loops that read the view log the loss of the store
	}
	if l, ok := n.elector.Newest(); ok {
		n.Allowances.Assume(l.VMs)
	}
	if !n.elector.Vacant() {
		l, _ := n.elector.Newest()
		n.setLeader(l)
		return false
	}
	if n.retired.Load() || n.Clock.Sleep(ctx, n.spread()) != nil || n.elector.Read(ctx) != nil || !n.elector.Vacant() {
		return false
	}
	if err := n.elector.Acquire(ctx, n.Allowances.VMs()); err != nil {
		return false // another VM was faster, or the next read shows it
	}
	n.lead()
	return false
}

// spread returns this VM's delay before it takes a vacant lease.
func (n *Node) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.VM))
	n.mu.Lock()
	weak := time.Duration(max(n.mostProcessor-n.Processor, 0) * float64(weakDelay))
	n.mu.Unlock()
	return weak + time.Duration(h.Sum32()%1000)*acquireSpread/1000
}

func (n *Node) lead() {
	l, _ := n.elector.Newest()
	c := NewController(ControllerConfig{
		Clock: n.Clock, Engines: n.Engines, Metrics: n.Metrics, Holder: n.VM, Term: l.Term,
		Holds: func() bool {
			term, ok := n.elector.Holds()
			return ok && term == l.Term
		},
		QuietUntil: n.Clock.Now().Add(n.OrderPause),
	}, n.View)
	n.controller.Store(c)
	n.setLeader(l)
	log.WithFields(log.Fields{"event": "lease-acquired", "term": l.Term}).Info("")
}

func (n *Node) setLeader(l drlease.Lease) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.VM != n.leader.VM || l.Term != n.leader.Term {
		log.WithFields(log.Fields{"event": "controller-changed", "controller": l.VM, "term": l.Term}).Info("")
		n.heardAt = time.Time{}
	}
	n.leader = l
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
	return c.Reserve(from.VM, m), nil
}
