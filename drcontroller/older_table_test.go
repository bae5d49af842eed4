package drcontroller

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// tableNode is a VM that reads the store, reports to the one that leads and leads itself.
type tableNode struct {
	*readerFixture
	pages    *smallPages
	receiver tableReceiver
	// goneAt holds, by runner, the offset of the newest removal that this VM had learned of when
	// it stopped listing the runner.
	goneAt map[string]int64
	listed map[string]bool
}

// tableOrder is a random order of what happens to some VMs that read one store.
type tableOrder struct {
	rand   *rand.Rand
	clock  *drclock.Fake
	nodes  []*tableNode
	leader int
	term   uint64
	living map[string]*drfleet.Runner
	// written and removed hold the offsets of each runner's newest records.
	written, removed map[string][]int64
	end              int64
	starts           int64
	// restored is set once the store has lost records, after which offsets tell nothing.
	restored bool
}

func newTableOrder(seed uint64, vms int) *tableOrder {
	o := &tableOrder{
		rand: rand.New(rand.NewPCG(seed, 3)), term: 1, living: make(map[string]*drfleet.Runner),
		written: make(map[string][]int64), removed: make(map[string][]int64),
	}
	first := newReaderFixture()
	o.clock = first.clock
	for i := range vms {
		w := first
		if i > 0 {
			w = first.another()
		}
		n := &tableNode{readerFixture: w, pages: w.withPages(3), goneAt: make(map[string]int64), listed: make(map[string]bool)}
		n.receiver.view = w.view
		o.nodes = append(o.nodes, n)
	}
	return o
}

func (o *tableOrder) put(id string, value []byte) {
	o.nodes[0].store.Put(drstore.Runners, id, value)
	o.end++
}

// write writes a runner's next entry. It has a new start if the runner had left.
func (o *tableOrder) write(id string) {
	r := &drfleet.Runner{ID: id, Service: "llm", Beat: 1}
	if old, ok := o.living[id]; ok {
		r.Started, r.Beat = old.Started, old.Beat+1
	} else {
		o.starts++
		r.Started = o.starts
	}
	o.living[id] = r
	o.written[id] = append(o.written[id], o.end)
	o.put(id, fmt.Appendf(nil, "%d %d", r.Started, r.Beat))
}

// remove removes a runner's entry, for good or until it writes again.
func (o *tableOrder) remove(id string, forGood bool) {
	if _, ok := o.living[id]; !ok {
		return
	}
	if forGood {
		delete(o.living, id)
	}
	o.removed[id] = append(o.removed[id], o.end)
	o.put(id, nil)
}

// report has a VM report to the one that leads, unless that is itself, and apply the reply.
func (o *tableOrder) report(n *tableNode) error {
	leader := o.nodes[o.leader]
	if n == leader || !leader.view.RunnersKnown() {
		return nil
	}
	c := &Controller{ControllerConfig: ControllerConfig{Term: o.term}, view: leader.view, table: newTableSender(leader.view)}
	request, reply := new(drpb.FleetSyncRequest), &drpb.FleetSyncReply{Leading: true, Term: o.term}
	n.receiver.fillRequest(o.term, request)
	at, next := leader.view.RunnersConfirmed()
	reply.RunnersNext = next.Next
	c.fillTable(request, reply, true)
	complete, err := n.receiver.apply(reply, false)
	if err != nil || !complete {
		return o.check(n, reply.GetRunnersAsOf().GetNext())
	}
	n.view.ConfirmTable(decodePosition(reply.GetRunnersAsOf()))
	n.view.ConfirmRunners(at, runnersNextOf(reply))
	return o.check(n, reply.GetRunnersAsOf().GetNext())
}

func (o *tableOrder) read(n *tableNode) error {
	_ = n.reader.readRunners(context.Background())
	return o.check(n, n.reader.confirmed.next)
}

// check returns an error if a VM lists a runner again that has not written since the removal
// that the VM knew. asOf is the reading that the VM has learned of last.
func (o *tableOrder) check(n *tableNode, asOf int64) error {
	if o.restored {
		return nil
	}
	for _, id := range slices.Concat(slices.Collect(maps.Keys(o.written)), slices.Collect(maps.Keys(n.listed))) {
		_, lists := n.view.Runner(id)
		if gone, known := n.goneAt[id]; known && lists && newestBefore(o.written[id], o.end) < gone {
			return fmt.Errorf("%s is listed again, removed at %d", id, gone)
		}
		if n.listed[id] && !lists {
			n.goneAt[id] = newestBefore(o.removed[id], asOf)
		}
		n.listed[id] = lists
	}
	return nil
}

// newestBefore returns the newest of some ascending offsets before another, -1 if there is none.
func newestBefore(offsets []int64, before int64) int64 {
	for _, o := range slices.Backward(offsets) {
		if o < before {
			return o
		}
	}
	return -1
}

func (o *tableOrder) step() error {
	id, n := fmt.Sprint("r", o.rand.IntN(6)), o.nodes[o.rand.IntN(len(o.nodes))]
	switch o.rand.IntN(12) {
	case 0, 1:
		o.write(id)
	case 2:
		o.remove(id, true)
	case 3:
		o.remove(id, false)
	case 4:
		o.clock.Advance(time.Duration(o.rand.IntN(900)) * time.Millisecond)
	case 5:
		o.leader, o.term = o.rand.IntN(len(o.nodes)), o.term+1
	case 6:
		n.pages.failing = func() bool { return true }
	case 7:
		n.pages.failing = func() bool { return false }
	case 8, 9:
		return o.read(n)
	default:
		return o.report(n)
	}
	return nil
}

// restore makes the store lose its newest records.
func (o *tableOrder) restore() {
	o.end -= o.rand.Int64N(min(o.end, 8) + 1)
	o.nodes[0].store.Restore(drstore.Runners, int(o.end))
	o.restored = true
}

// settle lets the store rest and all VMs hear of it from the one that leads. It returns what
// differs from the store then.
func (o *tableOrder) settle() error {
	for _, n := range o.nodes {
		n.pages.failing = func() bool { return false }
	}
	for id := range o.written {
		if _, lives := o.living[id]; !lives && o.restored {
			o.put(id, nil) // what the store has lost is written again
		}
	}
	for range 8 {
		for _, id := range slices.Sorted(maps.Keys(o.living)) {
			o.write(id)
		}
		for range 4 {
			if err := o.read(o.nodes[o.leader]); err != nil {
				return err
			}
		}
		o.clock.Advance(lapsedEntryGrace / 3)
		for _, n := range o.nodes {
			for range 3 {
				if err := o.report(n); err != nil {
					return err
				}
			}
		}
	}
	for i, n := range o.nodes {
		for id, r := range o.living {
			if got, ok := n.view.Runner(id); !ok || got.Started != r.Started {
				return fmt.Errorf("%s lives and is missing or old at VM %d", id, i)
			}
		}
		if listed := n.runners(); listed != len(o.living) {
			return fmt.Errorf("VM %d lists %d runners of %d", i, listed, len(o.living))
		}
	}
	return nil
}

// Guards against a runner that has left and is listed again by the older table of a controller
// that could not read the store, and against VMs whose tables stay apart, in any order of
// entries, reads, failures, reports and controllers.
func TestOlderTableUndoesNoReading(t *testing.T) {
	log.SetHandler(discard.Default)
	for seed := range uint64(3000) {
		o := newTableOrder(seed, 3)
		for range 80 {
			if err := o.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if err := o.settle(); err != nil {
			t.Fatalf("seed %d: settled: %v", seed, err)
		}
	}
}

// Guards against VMs whose tables stay apart from the store for good because it has lost records
// and given out their offsets again.
func TestTablesFollowStoreThatLostRecords(t *testing.T) {
	log.SetHandler(discard.Default)
	for seed := range uint64(2000) {
		o := newTableOrder(seed, 3)
		for i := range 80 {
			if i%30 == 29 {
				o.restore()
			}
			if err := o.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if err := o.settle(); err != nil {
			t.Fatalf("seed %d: settled: %v", seed, err)
		}
	}
}

// Guards against a change of the configuration that a VM never reads, because the store has
// lost records and given out their offsets again.
func TestConfigurationIsReadFromStoreThatLostRecords(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	for version := range 5 {
		w.store.Put(drstore.Deployments, "config", fmt.Append(nil, version))
	}
	is.NoErr(w.reader.readDeployment(ctx, 0))
	w.store.Restore(drstore.Deployments, 2)
	for _, version := range []string{"4", "7", "8"} { // up to the offset that the VM goes on from
		w.store.Put(drstore.Deployments, "config", []byte(version))
	}
	is.NoErr(w.reader.readDeployment(ctx, 0))
	d, _ := w.view.Deployment()
	is.Equal(d.Version, int64(8))
}

// Guards against a runner that has left, and that a VM lists again because its controller,
// which the store refuses, sends it whole, as an update, in a bucket or by name.
func TestRefusedControllerListsNoRunnerThatLeft(t *testing.T) {
	left, stays := tableRunner(1, "m1"), tableRunner(2, "m1")
	bucket, err := newTableSender(viewOf(left, stays)).block(drfleetview.BucketOf(left.ID), 0)
	is.New(t).NoErr(err)
	whole := encodeRunner(drfleetview.Change{Runner: left})
	update := withoutIdentity(encodeRunner(drfleetview.Change{Runner: left}))
	for name, reply := range map[string]*drpb.FleetSyncReply{
		"whole":  {Whole: true, Runners: []*drpb.FleetRunner{whole, encodeRunner(drfleetview.Change{Runner: stays})}},
		"update": {Runners: []*drpb.FleetRunner{update}},
		"named":  {Runners: []*drpb.FleetRunner{whole}, TablePosition: &drpb.FleetTablePosition{Term: 2}},
		"bucket": {TableBlocks: []*drpb.FleetTableBlock{{Bucket: uint32(drfleetview.BucketOf(left.ID)), RunnersDeflated: bucket}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := viewOf(left, stays)
			v.ConfirmTable(drstore.Position{Next: 10})
			v.RemoveRunnerAsOf(left.ID, drfleetview.FromRunner, drstore.After(0, 12))
			reply.Term, reply.RunnersAsOf = 2, &drpb.FleetPosition{Next: 11}
			receiver := &tableReceiver{view: v}
			_, err := receiver.apply(reply, false)
			is.NoErr(err)
			_, listed := v.Runner(left.ID)
			is.True(!listed)
			_, listed = v.Runner(stays.ID)
			is.True(listed)

			reply.RunnersAsOf.Next = 20 // the runner has written again
			_, err = receiver.apply(reply, false)
			_, listed = v.Runner(left.ID)
			is.True(listed || err != nil) // an update of a runner that is not listed asks for the table
		})
	}
}

// viewOf returns a view that lists runners.
func viewOf(runners ...*drfleet.Runner) *drfleetview.View {
	v := drfleetview.New(drclock.System{})
	for _, r := range runners {
		v.OfferRunner(r, drfleetview.FromRunner)
	}
	return v
}
