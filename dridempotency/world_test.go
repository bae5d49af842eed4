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

// world is a set of VMs with an in-memory network, log and plain service. It
// runs in a synctest bubble, whose clock is virtual.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	streams [PartitionCount][]drlog.Record
	nodes   []*node
	logDown bool
	// faults is the probability of each fault of a message or an append.
	faults  float64
	appends int
	runs    map[string]int // executions by key
	group   sync.WaitGroup
}

type node struct {
	world      *world
	member     drmember.Member
	partitions [PartitionCount]*Partition
	applied    [PartitionCount]int
	home       *Home
	once       *Once
	handlers   map[string]drpeer.Handler
	dead       bool
	paused     chan struct{}
	died       chan struct{}
}

func newWorld(n int, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int), nodes: make([]*node, n)}
	for i := range n {
		w.start(i, drmember.Member{VM: fmt.Sprintf("vm-%02d", i), Incarnation: 1})
	}
	return w
}

func (w *world) start(i int, m drmember.Member) {
	n := &node{world: w, member: m, handlers: make(map[string]drpeer.Handler), died: make(chan struct{})}
	h := HomeConfig{Clock: drclock.System{}, View: n}
	for p := range PartitionCount {
		n.partitions[p] = NewPartition(testWindow)
		h.Journals[p] = &journal{n, p}
	}
	h.Partitions = n.partitions
	n.home = NewHome(h)
	n.home.Register(n)
	n.once = New(Config{
		Clock: drclock.System{}, View: n, Caller: n, Home: n.home, Partitions: n.partitions, Recorder: drtimeline.Discard{},
	})
	w.set(func() { w.nodes[i] = n })
	w.group.Go(func() {
		for {
			select {
			case <-n.died:
				return
			case <-time.After(20 * time.Millisecond):
				n.follow()
			}
		}
	})
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) chance() (hit bool) {
	w.set(func() { hit = w.random.Float64() < w.faults })
	return hit
}

func (w *world) intN(n int) (v int) {
	w.set(func() { v = w.random.IntN(n) })
	return v
}

func (w *world) node(i int) (n *node) {
	w.set(func() { n = w.nodes[i] })
	return n
}

// kill ends the process on a VM without notice.
func (n *node) kill() {
	n.resume()
	n.world.set(func() { n.dead = true })
	close(n.died)
	n.once.Close()
	n.home.Close()
}

func (w *world) restart(i int) {
	m := w.node(i).member
	w.node(i).kill()
	m.Incarnation++
	w.start(i, m)
}

func (n *node) pause() { n.world.set(func() { n.paused = make(chan struct{}) }) }

func (n *node) resume() {
	n.world.set(func() {
		if n.paused != nil {
			close(n.paused)
			n.paused = nil
		}
	})
}

// gate blocks while the VM is paused and reports whether it lives.
func (n *node) gate() bool {
	var p chan struct{}
	var dead bool
	n.world.set(func() { p = n.paused })
	if p != nil {
		<-p
	}
	n.world.set(func() { dead = n.dead })
	return !dead
}

func (w *world) close() {
	for i := range w.nodes {
		w.node(i).kill()
	}
	w.group.Wait()
}

// follow folds the records up to the head of the log.
func (n *node) follow() {
	n.world.set(func() {
		if n.world.logDown || n.paused != nil {
			return
		}
		for p, rs := range n.world.streams {
			for _, r := range rs[n.applied[p]:] {
				n.partitions[p].Apply(r)
			}
			n.applied[p] = len(rs)
		}
	})
}

func (n *node) Self() drmember.Member            { return n.member }
func (n *node) Members() []drmember.Member       { return n.Candidates() }
func (*node) Gone(string) bool                   { return false }
func (*node) Backends(string) []drmember.Backend { return nil }

func (n *node) Candidates() (ms []drmember.Member) {
	n.world.set(func() {
		for _, o := range n.world.nodes {
			ms = append(ms, o.member)
		}
	})
	return ms
}

func (n *node) Handle(method string, h drpeer.Handler) { n.handlers[method] = h }

var errNoAnswer = drerror.New(drerror.MayHaveRun, drerror.Unavailable, "no answer")

// Call implements drpeer.Caller with lost, late and repeated messages.
func (n *node) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	w := n.world
	body, _ := proto.Marshal(req)
	done := make(chan error, 1)
	w.group.Go(func() {
		if !n.travel() {
			return
		}
		var to *node
		w.set(func() {
			for _, o := range w.nodes {
				if o.member.VM == vm {
					to = o
				}
			}
		})
		if to == nil || !to.gate() {
			return
		}
		if w.chance() {
			w.group.Go(func() { to.handlers[method](ctx, drpeer.Sender{VM: n.member.VM}, body) })
		}
		m, err := to.handlers[method](ctx, drpeer.Sender{VM: n.member.VM}, body)
		if !to.travel() || !n.gate() || ctx.Err() != nil {
			return
		}
		if err == nil {
			b, _ := proto.Marshal(m)
			err = proto.Unmarshal(b, resp)
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

// travel takes one way of a message and reports whether it arrives.
func (n *node) travel() bool {
	d := time.Millisecond
	if n.world.chance() {
		d += time.Duration(n.world.intN(2000)) * time.Millisecond
	}
	time.Sleep(d)
	return n.gate() && !n.world.chance()
}

// journal is a VM's connection to the log.
type journal struct {
	node      *node
	partition int
}

// Append can lose the record, lose the answer, or take effect late.
func (j *journal) Append(_ context.Context, data []byte) (uint64, error) {
	w := j.node.world
	lost, late, unanswered := w.chance(), w.chance(), w.chance()
	time.Sleep(logLatency)
	put := func() (offset uint64, err error) {
		w.set(func() {
			if w.logDown {
				err = drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "log down")
				return
			}
			w.appends++
			offset = uint64(len(w.streams[j.partition]) + 1)
			w.streams[j.partition] = append(w.streams[j.partition], drlog.Record{Offset: offset, Time: time.Now(), Data: data})
		})
		return offset, err
	}
	switch {
	case !j.node.gate() || lost:
		return 0, errNoAnswer
	case late:
		d := time.Duration(w.intN(3000)) * time.Millisecond
		w.group.Go(func() {
			time.Sleep(d)
			_, _ = put()
		})
		return 0, errNoAnswer
	}
	offset, err := put()
	if unanswered || !j.node.gate() {
		return 0, errNoAnswer
	}
	return offset, err
}

func (j *journal) WaitFor(ctx context.Context, offset uint64) error {
	for {
		time.Sleep(logLatency)
		if !j.node.gate() {
			return errors.New("dead")
		}
		j.node.follow()
		done := false
		j.node.world.set(func() { done = j.node.applied[j.partition] >= int(offset) })
		if done {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
