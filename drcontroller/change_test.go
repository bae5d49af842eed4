package drcontroller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// bubbleClock is the virtual time of a synctest bubble.
type bubbleClock struct {
	drclock.System
	start time.Time
}

func (c bubbleClock) Uptime() time.Duration { return time.Since(c.start) }

// nodeFleet is a number of nodes with a store and a network in memory.
type nodeFleet struct {
	clock drfleetview.Clock
	store *drstandin.MemoryStore

	mu    sync.Mutex
	nodes map[string]*fleetNode
	// calls counts the calls to the store by topic.
	calls map[drstore.Topic]int
}

// fleetNode is one VM of a nodeFleet: its store, its peers and its registry.
type fleetNode struct {
	*Node
	fleet    *nodeFleet
	name     string
	cut      bool // from the store and all peers
	handlers map[string]drpeer.Handler
}

var errCut = errors.New("cut off")

func newNodeFleet(vms int) *nodeFleet {
	log.SetHandler(discard.Default)
	f := &nodeFleet{
		clock: bubbleClock{start: time.Now()}, store: drstandin.NewMemoryStore(),
		nodes: make(map[string]*fleetNode), calls: make(map[drstore.Topic]int),
	}
	f.store.Put(drstore.Deployments, "config", []byte("1"))
	for i := range vms {
		f.start(fmt.Sprintf("vm-%d", i), 1)
	}
	return f
}

func (f *nodeFleet) start(name string, processor float64) {
	n := &fleetNode{fleet: f, name: name, handlers: make(map[string]drpeer.Handler)}
	n.Node = New(Config{
		Clock: f.clock, VM: name, Address: name, Incarnation: 1, Log: n, Codec: versions{}, Engines: &engines{},
		Peers: n, Registry: n, Metrics: drmetric.New(), View: drfleetview.New(f.clock), Allowances: drtokenpool.NewAllowances(f.clock),
		Processor: processor, Propagation: 2 * time.Second, RunnerDrain: 2 * time.Second,
	})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	n.Start()
}

func (f *nodeFleet) close() {
	for _, n := range f.nodes {
		n.Close()
	}
}

// controllers returns the nodes that hold the lease.
func (f *nodeFleet) controllers() []*fleetNode {
	var cs []*fleetNode
	for _, n := range f.nodes {
		if c := n.controller.Load(); c != nil && c.Holds() {
			cs = append(cs, n)
		}
	}
	return cs
}

// take returns the calls since the last take.
func (f *nodeFleet) take() map[drstore.Topic]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls
	f.calls = make(map[drstore.Topic]int)
	return c
}

func (n *fleetNode) setCut() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.cut = true
}

// reach counts a call to the store; it fails if the node is cut off.
func (n *fleetNode) reach(t drstore.Topic) error {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.cut {
		return errCut
	}
	n.fleet.calls[t]++
	return nil
}

func (n *fleetNode) Newest(ctx context.Context, t drstore.Topic) (drstore.Page, error) {
	if err := n.reach(t); err != nil {
		return drstore.Page{}, err
	}
	return n.fleet.store.Newest(ctx, t)
}

func (n *fleetNode) Read(ctx context.Context, t drstore.Topic, from int64, wait time.Duration) (drstore.Page, error) {
	if err := n.reach(t); err != nil {
		return drstore.Page{}, err
	}
	return n.fleet.store.Read(ctx, t, from, wait)
}

func (n *fleetNode) Append(ctx context.Context, t drstore.Topic, value []byte, at int64) error {
	if err := n.reach(t); err != nil {
		return err
	}
	return n.fleet.store.Append(ctx, t, value, at)
}

func (n *fleetNode) Handle(method string, h drpeer.Handler) { n.handlers[method] = h }

func (n *fleetNode) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	n.fleet.mu.Lock()
	to := n.fleet.nodes[vm]
	lost := n.cut || to == nil || to.cut
	n.fleet.mu.Unlock()
	if lost {
		<-ctx.Done() // nothing answers
		return errCut
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	m, err := to.handlers[method](ctx, drpeer.Sender{VM: n.name, Incarnation: 1}, body)
	if err != nil {
		return err
	}
	n.fleet.mu.Lock()
	lost = n.cut || to.cut
	n.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errCut
	}
	proto.Merge(resp, m)
	return ctx.Err()
}

// versions decodes configurations that are a version only.
type versions struct{}

func (versions) Deployment(b []byte) (*drfleet.Deployment, error) {
	return drfleet.NewDeployment(drfleet.Config{Version: int64(len(b))})
}

func (versions) Runner(id string, _ []byte) (*drfleet.Runner, error) {
	return &drfleet.Runner{ID: id}, nil
}

// Guards against start-ups and changes of the controller that press the store:
// each VM's part must not grow with the time that the change takes.
func TestControllerChangeCostsFewStoreCalls(t *testing.T) {
	const (
		vms = 40
		own = 10 // the controller's reads of a topic in 5 s
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newNodeFleet(vms)
		defer f.close()
		time.Sleep(3 * time.Second)
		is.Equal(len(f.controllers()), 1)
		calls := f.take()
		t.Logf("calls in 3 s from the start: %v", calls)
		is.True(calls[drstore.Leases] <= 3*vms)
		is.True(calls[drstore.Deployments] <= vms) // the controller tells most of them
		is.True(calls[drstore.Runners] <= vms)

		time.Sleep(10 * time.Second)
		calls = f.take()
		t.Logf("calls in 10 quiet s: %v", calls)
		is.True(calls[drstore.Leases] <= 30) // only the controller's renewals
		is.True(calls[drstore.Deployments] <= 30)
		is.True(calls[drstore.Runners] <= 30)

		lost := f.controllers()[0]
		lost.setCut()
		time.Sleep(5 * time.Second)
		is.Equal(len(f.controllers()), 1)
		is.True(f.controllers()[0] != lost)
		calls = f.take()
		t.Logf("calls in 5 s of a change of the controller: %v", calls)
		is.True(calls[drstore.Leases] <= 4*vms)
		// Two reads of each VM at staleShare of the propagation time, and those of
		// the controller.
		is.True(calls[drstore.Deployments] <= 2*vms+own)
		is.True(calls[drstore.Runners] <= 2*vms+own)
	})
}

// Guards against a weak VM that becomes the controller of a large fleet because
// it notices the loss of the former one first: a fleet whose controller had a
// sixth of a core and a link of 10 Mbit/s was without one for 8 s.
func TestStrongVMTakesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newNodeFleet(2) // strong
		defer f.close()
		for i := range 20 {
			f.start(fmt.Sprintf("weak-%d", i), 0.2)
		}
		time.Sleep(5 * time.Second)
		lost := f.controllers()[0]
		is.True(lost.Processor == 1)
		for _, n := range f.nodes {
			if n.Processor < 1 { // these notice it at once, the strong one only by its reports
				n.forgetLeader(lost.name)
			}
		}
		lost.setCut()
		time.Sleep(5 * time.Second)
		is.Equal(len(f.controllers()), 1)
		is.True(f.controllers()[0].Processor == 1)
		f.controllers()[0].setCut()
		time.Sleep(8 * time.Second)
		is.Equal(len(f.controllers()), 1) // a weak one, when no strong one is left
	})
}
