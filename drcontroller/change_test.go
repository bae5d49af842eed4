package drcontroller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// bubbleClock reads the virtual time of a synctest bubble. Its uptime starts at
// start.
type bubbleClock struct {
	drclock.System
	start time.Time
}

func (c bubbleClock) Uptime() time.Duration { return time.Since(c.start) }

// NewTimer implements drclock.Clock. It waits at least 1 ns, because goroutines of a
// bubble that start timers without a duration at the same moment corrupt the state of
// the race detector (Go 1.26).
func (c bubbleClock) NewTimer(d time.Duration) drclock.Timer {
	return c.System.NewTimer(max(d, time.Nanosecond))
}

// Sleep implements drclock.Clock. Like NewTimer, it waits at least 1 ns.
func (c bubbleClock) Sleep(ctx context.Context, d time.Duration) error {
	return c.System.Sleep(ctx, max(d, time.Nanosecond))
}

// testFleet is a fleet of nodes that share an in-memory store and call each
// other in memory.
type testFleet struct {
	clock drfleetview.Clock
	store *drstandin.MemoryStore

	mu    sync.Mutex
	nodes map[string]*testNode
	// outageUntil is when the store serves again. Until then it refuses calls, and
	// reads that wait get no answer.
	outageUntil time.Time
	// pieceDelay is how long a reply with a piece of the table is on its way.
	pieceDelay time.Duration
	// calls is the number of calls to the store since the last takeCalls, by
	// topic.
	calls map[drstore.Topic]int
	// repliesLost is set while replies to reports don't arrive.
	repliesLost bool
	// linkRate is how many bytes of replies a node sends in a second, 0 for no limit.
	linkRate float64
}

// testNode is one VM of a testFleet. It serves its Node as the store, the peer
// client and the handler registry, and can be partitioned from all others.
type testNode struct {
	*Node
	fleet       *testFleet
	name        string
	partitioned bool // no call to or from the store and the peers succeeds
	storeCut    bool // no call to the store succeeds
	peersCut    bool // no call to or from the peers succeeds
	handlers    map[string]drpeer.Handler
	incarnation uint64
	linkFreeAt  time.Time // when all replies so far have left
}

var errPartitioned = errors.New("cut off")

func newTestFleet(vms int) *testFleet {
	discardLogs()
	f := &testFleet{
		clock: bubbleClock{start: time.Now()}, store: drstandin.NewMemoryStore(),
		nodes: make(map[string]*testNode), calls: make(map[drstore.Topic]int),
	}
	f.store.Put(drstore.Deployments, "config", []byte("1"))
	for i := range vms {
		f.start(fmt.Sprintf("vm-%d", i), 1)
	}
	return f
}

// start adds a VM that may use the given part of a core.
func (f *testFleet) start(name string, processor float64) { f.startIn("", name, processor) }

// startIn is start in an availability zone.
func (f *testFleet) startIn(zone, name string, processor float64) {
	n := &testNode{fleet: f, name: name, handlers: make(map[string]drpeer.Handler), incarnation: f.nextIncarnation(name)}
	n.Node = New(Config{
		Clock: f.clock, VM: name, Zone: zone, Address: name, Incarnation: n.incarnation, Log: n, Codec: lengthCodec{}, Engines: &fakeEngines{},
		Peers: n, Registry: n, Metrics: drmetric.New(), View: drfleetview.New(f.clock), Allowances: drtokenpool.NewAllowances(f.clock),
		Crashes:   drcrash.NewLedger(f.clock),
		Processor: processor, Propagation: 2 * time.Second, RunnerDrain: 2 * time.Second,
	})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	n.Start()
}

// nextIncarnation returns the incarnation of a VM that starts, 1 if none of its name has before.
func (f *testFleet) nextIncarnation(name string) uint64 {
	if former := f.nodes[name]; former != nil {
		return former.incarnation + 1
	}
	return 1
}

// setReplyLoss sets whether replies to reports are lost.
func (f *testFleet) setReplyLoss(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repliesLost = lost
}

func (f *testFleet) close() {
	for _, n := range f.nodes {
		n.Close()
	}
}

// controllers returns the nodes that run a controller with a valid lease.
func (f *testFleet) controllers() []*testNode {
	var cs []*testNode
	for _, n := range f.nodes {
		if c := n.controller.Load(); c != nil && c.Holds() {
			cs = append(cs, n)
		}
	}
	return cs
}

// takeCalls returns the store calls by topic since the last takeCalls.
func (f *testFleet) takeCalls() map[drstore.Topic]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls
	f.calls = make(map[drstore.Topic]int)
	return c
}

func (n *testNode) partition() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.partitioned = true
}

// countStoreCall counts a call to the store. It fails if the node is
// partitioned.
func (n *testNode) countStoreCall(t drstore.Topic) error {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.partitioned || n.storeCut || time.Now().Before(n.fleet.outageUntil) {
		return errPartitioned
	}
	n.fleet.calls[t]++
	return nil
}

// awaitOutage waits until an outage of the store ends, at most until ctx ends.
func (n *testNode) awaitOutage(ctx context.Context) error {
	n.fleet.mu.Lock()
	left := time.Until(n.fleet.outageUntil)
	n.fleet.mu.Unlock()
	return n.fleet.clock.Sleep(ctx, max(left, 0))
}

func (n *testNode) Newest(ctx context.Context, t drstore.Topic, after string) (drstore.Page, error) {
	if err := n.countStoreCall(t); err != nil {
		return drstore.Page{}, err
	}
	return n.fleet.store.Newest(ctx, t, after)
}

func (n *testNode) Read(ctx context.Context, t drstore.Topic, from int64, maxKB int, wait time.Duration) (drstore.Page, error) {
	if err := n.countStoreCall(t); err != nil {
		return drstore.Page{}, err
	}
	page, err := n.fleet.store.Read(ctx, t, from, maxKB, wait)
	if unanswered := n.awaitOutage(ctx); unanswered != nil {
		return drstore.Page{}, unanswered
	}
	return page, err
}

func (n *testNode) Append(ctx context.Context, t drstore.Topic, value []byte, at drstore.Position) error {
	if err := n.countStoreCall(t); err != nil {
		return err
	}
	return n.fleet.store.Append(ctx, t, value, at)
}

func (n *testNode) Handle(method string, h drpeer.Handler) { n.handlers[method] = h }

func (n *testNode) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	n.fleet.mu.Lock()
	to := n.fleet.nodes[vm]
	lost := to == nil || n.cutFrom(to)
	n.fleet.mu.Unlock()
	if lost {
		<-ctx.Done() // like a call without a response
		return errPartitioned
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	m, err := to.handlers[method](ctx, drpeer.Sender{VM: n.name, Incarnation: n.incarnation}, body)
	if err != nil {
		return err
	}
	n.fleet.delayPiece(ctx, m)
	if err := to.awaitLink(ctx, proto.Size(m)); err != nil {
		return err
	}
	n.fleet.mu.Lock()
	lost = n.cutFrom(to) || n.fleet.repliesLost && method == methodSync
	n.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errPartitioned
	}
	proto.Merge(resp, m)
	return ctx.Err()
}

// withoutLoops ends the loops of a node and returns it, for a test that makes its reports.
func (n *testNode) withoutLoops() *Node {
	n.cancel()
	n.wg.Wait()
	n.ctx = context.Background()
	return n.Node
}

// delayPiece waits while a reply that has a piece of the table is on its way, at most until
// ctx ends.
func (f *testFleet) delayPiece(ctx context.Context, reply proto.Message) {
	f.mu.Lock()
	delay := f.pieceDelay
	f.mu.Unlock()
	if m, ok := reply.(*drpb.FleetSyncReply); ok && delay > 0 && m.GetTablePosition().GetNextBucket() > 0 {
		_ = f.clock.Sleep(ctx, delay)
	}
}

// awaitLink waits until a reply of a size has left the node, behind all replies before it. It
// leaves also if ctx ends.
func (n *testNode) awaitLink(ctx context.Context, size int) error {
	n.fleet.mu.Lock()
	if n.fleet.linkRate <= 0 {
		n.fleet.mu.Unlock()
		return nil
	}
	now := time.Now()
	if n.linkFreeAt.Before(now) {
		n.linkFreeAt = now
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(float64(size) / n.fleet.linkRate * float64(time.Second)))
	left := n.linkFreeAt.Sub(now)
	n.fleet.mu.Unlock()
	return n.fleet.clock.Sleep(ctx, left)
}

// lengthCodec decodes a configuration whose version is the record's length, and
// a runner that has only an ID, and as software version what follows an "@" in it.
type lengthCodec struct{}

func (lengthCodec) Deployment(b []byte) (*drfleet.Deployment, error) {
	return drfleet.NewDeployment(drfleet.Config{Version: int64(len(b))})
}

func (lengthCodec) OutOfService(key string) (string, bool) { return strings.CutPrefix(key, "out/") }

func (lengthCodec) Runner(id string, _ []byte) (*drfleet.Runner, error) {
	_, version, _ := strings.Cut(id, "@")
	return &drfleet.Runner{ID: id, Version: version}, nil
}

// Guards against overloading the store when a fleet starts or its controller
// changes. The number of store calls by each VM must not grow with the time
// that the change takes.
func TestControllerChangeCostsFewStoreCalls(t *testing.T) {
	const (
		vms             = 40
		controllerReads = 10 // reads of a topic by the controller in 5 s
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(vms)
		defer f.close()
		time.Sleep(3 * time.Second)
		is.Equal(len(f.controllers()), 1)
		calls := f.takeCalls()
		t.Logf("calls in 3 s from the start: %v", calls)
		is.True(calls[drstore.Leases] <= 3*vms)
		is.True(calls[drstore.Deployments] <= vms) // most VMs get it from the controller
		is.True(calls[drstore.Runners] <= vms)

		time.Sleep(10 * time.Second)
		calls = f.takeCalls()
		t.Logf("calls in 10 quiet s: %v", calls)
		is.True(calls[drstore.Leases] <= 30) // only the controller's renewals
		is.True(calls[drstore.Deployments] <= 30)
		is.True(calls[drstore.Runners] <= 30)

		lost := f.controllers()[0]
		lost.partition()
		time.Sleep(5 * time.Second)
		is.Equal(len(f.controllers()), 1)
		is.True(f.controllers()[0] != lost)
		calls = f.takeCalls()
		t.Logf("calls in 5 s of a change of the controller: %v", calls)
		is.True(calls[drstore.Leases] <= 4*vms)
		// Each VM reads twice once its data reaches staleFraction of the
		// propagation time, in addition to the controller's reads.
		is.True(calls[drstore.Deployments] <= 2*vms+controllerReads)
		is.True(calls[drstore.Runners] <= 2*vms+controllerReads)
	})
}

// Guards against a weak VM that becomes the controller of a large fleet because
// it notices the loss of the previous one first. A fleet had no working
// controller for 8 s because its controller had a sixth of a core and a link of
// 10 Mbit/s.
func TestStrongVMTakesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(2) // with one core each
		defer f.close()
		for i := range 20 {
			f.start(fmt.Sprintf("weak-%d", i), 0.2)
		}
		time.Sleep(5 * time.Second)
		lost := f.controllers()[0]
		is.True(lost.Processor == 1)
		for _, n := range f.nodes {
			if n.Processor < 1 { // weak VMs notice the loss at once, the strong one only when its reports fail
				n.forgetLeader(lost.name)
			}
		}
		lost.partition()
		time.Sleep(5 * time.Second)
		is.Equal(len(f.controllers()), 1)
		is.True(f.controllers()[0].Processor == 1)
		f.controllers()[0].partition()
		time.Sleep(8 * time.Second)
		is.Equal(len(f.controllers()), 1) // a weak VM, because no strong one is left
	})
}

// Guards against a weak VM that becomes the controller after an outage of the store,
// because the time for which it leaves the lease to stronger ones passes meanwhile.
// Of 195 VMs, 125 could not reach such a controller for ten seconds.
func TestStrongVMTakesTheLeaseAfterOutage(t *testing.T) {
	for outage := 1500 * time.Millisecond; outage <= 5*time.Second; outage += 250 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playOutage(t, outage) })
		})
	}
}

// playOutage cuts the controller off, and the store from all VMs half a second later.
func playOutage(t *testing.T, outage time.Duration) {
	is := is.New(t)
	f := newTestFleet(4) // with one core each
	defer f.close()
	for i := range 100 {
		f.start(fmt.Sprintf("weak-%d", i), 0.4)
	}
	time.Sleep(5 * time.Second)
	f.controllers()[0].partition()
	time.Sleep(500 * time.Millisecond)
	f.mu.Lock()
	f.outageUntil = time.Now().Add(outage)
	f.mu.Unlock()
	// The last renewal may be unknown to the other VMs, so that the lease lapses for
	// them a whole TTL after they have read it.
	time.Sleep(outage + minPauseLimit + LeaseTTL + 500*time.Millisecond)
	is.Equal(len(f.controllers()), 1)
	is.True(f.controllers()[0].Processor == 1)
}

// Guards against a weak VM that stays the controller of a large fleet, because it took
// the lease while no strong one was there, and against a lease that goes back and
// forth if no strong VM can take it.
func TestWeakControllerYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(0)
		defer f.close()
		for i := range 40 {
			f.start(fmt.Sprintf("weak-%d", i), 0.2)
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(f.controllers()), 1)
		f.start("strong", 1)
		time.Sleep(2 * time.Second)
		is.Equal(f.controllers()[0].name, "strong")

		f.nodes["strong"].Retire() // it goes on reporting, but takes no lease
		time.Sleep(10 * time.Second)
		weak := f.controllers()[0]
		is.True(weak.Processor < 1)
		time.Sleep(10 * time.Second)
		is.Equal(f.controllers()[0].name, weak.name)
	})
}

// Guards against a fleet that waits for the lease longer than it is valid after its
// controller was lost, because no VM knows how old the newest record is. Meanwhile
// nobody loads models or gives out tokens.
func TestLostControllerIsReplacedWhenLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(13)
		defer f.close()
		time.Sleep(5 * time.Second)
		lost := f.controllers()[0]
		for lost.elector.Validity().Left > LeaseTTL-minSyncWait-100*time.Millisecond {
			time.Sleep(10 * time.Millisecond) // until all VMs were told of the last renewal
		}
		lost.partition()
		time.Sleep(LeaseTTL + 600*time.Millisecond)
		is.Equal(len(f.controllers()), 1)
		is.True(f.controllers()[0] != lost)
		time.Sleep(100 * time.Millisecond)
		for _, n := range f.nodes {
			_, reached := n.Leader()
			is.True(reached || n == lost)
		}
	})
}

// Guards against a VM that takes no more part in its fleet, because its own report came
// while the lease of its controller had lapsed, before that was renewed after all.
func TestControllerReportsToItselfAfterLapse(t *testing.T) {
	for late := time.Duration(0); late < LeaseTTL; late += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(1)
			defer f.close()
			time.Sleep(time.Second + late)
			n := f.nodes["vm-0"]
			f.mu.Lock()
			f.outageUntil = time.Now().Add(n.elector.Validity().Left)
			f.mu.Unlock()
			time.Sleep(LeaseTTL + 2*time.Second)
			_, reached := n.Leader()
			is.True(n.Controlling())
			is.True(reached)
		})
	}
}

// Guards against VMs that are late to have a controller after all were killed: they read the
// lease before its holder's new process acquires it, are told that this does not lead, and
// read it again only after a pause.
func TestNewLeaseIsFollowedAtOnce(t *testing.T) {
	const vms, bound = 60, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(0)
		defer f.close()
		lease, err := proto.Marshal(&drpb.FleetLease{Vm: "vm-7", Address: "vm-7", Term: 1, MostProcessor: 1, Vms: vms})
		is.NoErr(err)
		is.NoErr(f.store.Append(context.Background(), drstore.Leases, lease, drstore.Position{}))
		for i := range vms {
			f.start(fmt.Sprintf("vm-%d", i), 1)
		}
		for !f.nodes["vm-7"].Controlling() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(bound)
		for _, n := range f.nodes {
			_, reached := n.Leader()
			is.True(reached)
		}
	})
}

// Guards against a VM that is cut off from the store and takes no more part in its fleet,
// though it reaches the controller, because its report came while the lease had lapsed.
func TestVMWithoutStoreFindsControllerAfterLapse(t *testing.T) {
	for late := time.Duration(0); late < LeaseTTL; late += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(3)
			defer f.close()
			time.Sleep(4*time.Second + late)
			first, other := f.controllers()[0], f.follower()
			f.mu.Lock()
			other.storeCut = true
			f.outageUntil = time.Now().Add(first.elector.Validity().Left)
			f.mu.Unlock()
			time.Sleep(LeaseTTL + 5*time.Second)
			if !first.Controlling() {
				return // the lapse was noticed before it was renewed
			}
			_, reached := other.Leader()
			is.True(reached)
		})
	}
}
