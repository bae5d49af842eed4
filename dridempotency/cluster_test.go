package dridempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	testWindow = 5 * time.Minute
	logLatency = 5 * time.Millisecond
)

// testCluster is a set of VMs with an in-memory network, log and HTTP service.
// It runs in a synctest bubble, whose clock is virtual.
type testCluster struct {
	mu      sync.Mutex
	random  *rand.Rand
	streams [PartitionCount][]drlog.Record
	nodes   []*testNode
	logDown bool
	// faultProbability is the probability of each fault of a message or an append.
	faultProbability float64
	appends          int
	executions       map[string]int // by key
	goroutines       sync.WaitGroup
}

// testNode is one VM. It implements drmember.View, drpeer.Caller and
// drpeer.Registry. applied counts the records of each stream that were applied;
// paused is nil unless the VM is paused.
type testNode struct {
	cluster    *testCluster
	member     drmember.Member
	partitions [PartitionCount]*Partition
	applied    [PartitionCount]int
	home       *Home
	reserver   *Reserver
	handlers   map[string]drpeer.Handler
	dead       bool
	paused     chan struct{}
	killed     chan struct{}
}

func newCluster(size int, seed uint64) *testCluster {
	cluster := &testCluster{random: rand.New(rand.NewPCG(seed, 1)), executions: make(map[string]int), nodes: make([]*testNode, size)}
	for i := range size {
		cluster.start(i, drmember.Member{VM: fmt.Sprintf("vm-%02d", i), Incarnation: 1})
	}
	return cluster
}

func (c *testCluster) start(index int, member drmember.Member) {
	node := &testNode{cluster: c, member: member, handlers: make(map[string]drpeer.Handler), killed: make(chan struct{})}
	config := HomeConfig{Clock: drclock.System{}, View: node}
	for p := range PartitionCount {
		node.partitions[p] = NewPartition(testWindow)
		config.Journals[p] = &testJournal{node, p}
	}
	config.Partitions = node.partitions
	node.home = NewHome(config)
	node.home.Register(node)
	node.reserver = New(Config{
		Clock: drclock.System{}, View: node, Caller: node, Home: node.home, Partitions: node.partitions, Recorder: drtimeline.Discard{},
	})
	c.withLock(func() { c.nodes[index] = node })
	c.goroutines.Go(func() {
		for {
			select {
			case <-node.killed:
				return
			case <-time.After(20 * time.Millisecond):
				node.applyNewRecords()
			}
		}
	})
}

func (c *testCluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// faultOccurs returns true with probability faultProbability.
func (c *testCluster) faultOccurs() (hit bool) {
	c.withLock(func() { hit = c.random.Float64() < c.faultProbability })
	return hit
}

func (c *testCluster) randomInt(limit int) (value int) {
	c.withLock(func() { value = c.random.IntN(limit) })
	return value
}

func (c *testCluster) node(index int) (node *testNode) {
	c.withLock(func() { node = c.nodes[index] })
	return node
}

// kill stops the process on a VM without draining it, as a crash does.
func (n *testNode) kill() {
	n.resume()
	n.cluster.withLock(func() { n.dead = true })
	close(n.killed)
	n.reserver.Close()
	n.home.Close()
}

// restart kills the process on a VM and starts one with the next incarnation.
func (c *testCluster) restart(index int) {
	member := c.node(index).member
	c.node(index).kill()
	member.Incarnation++
	c.start(index, member)
}

func (n *testNode) pause() { n.cluster.withLock(func() { n.paused = make(chan struct{}) }) }

func (n *testNode) resume() {
	n.cluster.withLock(func() {
		if n.paused != nil {
			close(n.paused)
			n.paused = nil
		}
	})
}

// waitUnpaused blocks while the VM is paused and reports whether its process
// still runs afterwards.
func (n *testNode) waitUnpaused() bool {
	var paused chan struct{}
	var dead bool
	n.cluster.withLock(func() { paused = n.paused })
	if paused != nil {
		<-paused
	}
	n.cluster.withLock(func() { dead = n.dead })
	return !dead
}

func (c *testCluster) close() {
	for i := range c.nodes {
		c.node(i).kill()
	}
	c.goroutines.Wait()
}

// applyNewRecords applies the records up to the end of the log. It does nothing
// while the log is down or the VM is paused.
func (n *testNode) applyNewRecords() {
	n.cluster.withLock(func() {
		if n.cluster.logDown || n.paused != nil {
			return
		}
		for p, rs := range n.cluster.streams {
			for _, r := range rs[n.applied[p]:] {
				n.partitions[p].Apply(r)
			}
			n.applied[p] = len(rs)
		}
	})
}

func (n *testNode) Self() drmember.Member            { return n.member }
func (n *testNode) Members() []drmember.Member       { return n.Candidates() }
func (*testNode) Gone(string) bool                   { return false }
func (*testNode) Backends(string) []drmember.Backend { return nil }

func (n *testNode) Candidates() (members []drmember.Member) {
	n.cluster.withLock(func() {
		for _, o := range n.cluster.nodes {
			members = append(members, o.member)
		}
	})
	return members
}

func (n *testNode) Handle(method string, handler drpeer.Handler) { n.handlers[method] = handler }

var errNoAnswer = drerror.New(drerror.MayHaveRun, drerror.Unavailable, "no answer")

// Call implements drpeer.Caller. Messages may be lost, delayed or delivered twice.
func (n *testNode) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	cluster := n.cluster
	body, _ := proto.Marshal(req)
	done := make(chan error, 1)
	cluster.goroutines.Go(func() {
		if !n.simulateTransit() {
			return
		}
		var target *testNode
		cluster.withLock(func() {
			for _, o := range cluster.nodes {
				if o.member.VM == vm {
					target = o
				}
			}
		})
		if target == nil || !target.waitUnpaused() {
			return
		}
		if cluster.faultOccurs() {
			cluster.goroutines.Go(func() { target.handlers[method](ctx, drpeer.Sender{VM: n.member.VM}, body) })
		}
		reply, err := target.handlers[method](ctx, drpeer.Sender{VM: n.member.VM}, body)
		if !target.simulateTransit() || !n.waitUnpaused() || ctx.Err() != nil {
			return
		}
		if err == nil {
			data, _ := proto.Marshal(reply)
			err = proto.Unmarshal(data, resp)
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errNoAnswer
	}
}

// simulateTransit waits for the latency of a message in one direction, up to 2 s
// with a fault, and reports whether the message arrives.
func (n *testNode) simulateTransit() bool {
	delay := time.Millisecond
	if n.cluster.faultOccurs() {
		delay += time.Duration(n.cluster.randomInt(2000)) * time.Millisecond
	}
	time.Sleep(delay)
	return n.waitUnpaused() && !n.cluster.faultOccurs()
}

// testJournal is a VM's Journal of one partition.
type testJournal struct {
	node      *testNode
	partition int
}

// Append appends a record. Faults lose the record, lose the response, or append
// the record up to 3 s late.
func (j *testJournal) Append(_ context.Context, data []byte) (uint64, error) {
	cluster := j.node.cluster
	lost, late, unanswered := cluster.faultOccurs(), cluster.faultOccurs(), cluster.faultOccurs()
	time.Sleep(logLatency)
	appendRecord := func() (offset uint64, err error) {
		cluster.withLock(func() {
			if cluster.logDown {
				err = drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "log down")
				return
			}
			cluster.appends++
			offset = uint64(len(cluster.streams[j.partition]) + 1)
			cluster.streams[j.partition] = append(cluster.streams[j.partition], drlog.Record{Offset: offset, Time: time.Now(), Data: data})
		})
		return offset, err
	}
	switch {
	case !j.node.waitUnpaused() || lost:
		return 0, errNoAnswer
	case late:
		delay := time.Duration(cluster.randomInt(3000)) * time.Millisecond
		cluster.goroutines.Go(func() {
			time.Sleep(delay)
			_, _ = appendRecord()
		})
		return 0, errNoAnswer
	}
	offset, err := appendRecord()
	if unanswered || !j.node.waitUnpaused() {
		return 0, errNoAnswer
	}
	return offset, err
}

func (j *testJournal) WaitFor(ctx context.Context, offset uint64) error {
	for {
		time.Sleep(logLatency)
		if !j.node.waitUnpaused() {
			return errors.New("the VM was killed")
		}
		j.node.applyNewRecords()
		done := false
		j.node.cluster.withLock(func() { done = j.node.applied[j.partition] >= int(offset) })
		if done {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
