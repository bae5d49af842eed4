package drplacement

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	gigabyte    = 1 << 30
	testLatency = 2 * time.Millisecond
	// testLag is how old the state of an engine is when it arrives at a VM.
	testLag = 30 * time.Millisecond
)

// cluster is a set of VMs that use fakes of the log, the engines and the calls
// between VMs. It is used inside a synctest bubble, whose clock is fake.
type cluster struct {
	mu           sync.Mutex
	records      [][]byte
	recordCounts map[string]int // by record kind
	logGrown     chan struct{}  // closed when a record is added, and replaced
	logDown      bool
	// loseAnswers is the number of next appends whose answers get lost. Every
	// second of their records is added at once, the others by
	// deliverLateRecords.
	loseAnswers int
	// delayAppends is the number of next appends that fail and whose records
	// are added by deliverLateRecords.
	delayAppends   int
	lateRecords    [][]byte // records that deliverLateRecords adds
	fullLedger     *Ledger  // all records of the log, ahead of any VM
	vms            map[string]*testVM
	engines        map[string]*testEngine
	backends       []drmember.Backend
	fencing        bool
	configOffset   uint64
	models         map[string]ModelSpec
	adapters       map[string]AdapterSpec
	loadsPerSecond float64
	policy         Policy
}

// testVM is an entry VM. Kills, pauses and restarts of its process are
// simulated.
type testVM struct {
	cluster   *cluster
	member    drmember.Member
	placement *Placement
	ledger    *Ledger
	applied   int
	confirmed time.Time
	handlers  map[string]drpeer.Handler
	cancel    context.CancelFunc
	ended     chan struct{}
	stopped   bool
	paused    bool
	leaving   bool
	stateLag  time.Duration // used instead of testLag if it is longer
	// pausePoint names the point of pauseIfAt at which the VM pauses itself
	// once: "order" or "folded".
	pausePoint       string
	unreachableSince time.Time
	resumed          chan struct{}
}

// newCluster returns a cluster of stopped VMs, and of runners with 10 GB of
// memory each whose loads take 2 s. fencing selects whether the engines check
// fencing tokens.
func newCluster(vms, runners int, fencing bool) *cluster {
	c := &cluster{
		recordCounts: make(map[string]int), logGrown: make(chan struct{}), fullLedger: NewLedger(), vms: make(map[string]*testVM),
		engines: make(map[string]*testEngine), fencing: fencing, configOffset: 1,
		models: make(map[string]ModelSpec), adapters: make(map[string]AdapterSpec), loadsPerSecond: 1000,
	}
	for i := range runners {
		name := fmt.Sprintf("r%d", i)
		c.engines[name] = &testEngine{cluster: c, name: name, memory: 10 * gigabyte, loadTime: 2 * time.Second, instance: 1, version: 1, changed: make(chan struct{})}
		c.backends = append(c.backends, drmember.Backend{VM: name, Fleet: "llm", Zone: fmt.Sprintf("z%d", i%3), Address: name})
	}
	for i := range vms {
		name := fmt.Sprintf("vm%02d", i)
		c.vms[name] = &testVM{cluster: c, member: drmember.Member{VM: name, Zone: fmt.Sprintf("z%d", i%3)}, stopped: true}
	}
	return c
}

// setModel declares a model or changes it, under a new config offset.
func (c *cluster) setModel(name string, gigabytes int64, minReplicas, maxReplicas int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configOffset++
	c.models[name] = ModelSpec{Name: name, Fleet: "llm", Bytes: gigabytes * gigabyte, Min: minReplicas, Max: maxReplicas}
}

func (c *cluster) startAll() {
	for _, vm := range c.vms {
		vm.start()
	}
}

func (c *cluster) stopAll() {
	for _, vm := range c.vms {
		vm.resume()
	}
	for _, vm := range c.vms {
		vm.kill()
	}
	time.Sleep(time.Minute) // lets calls that are on their way end
}

// run runs f in a synctest bubble and stops all VMs afterwards.
func (c *cluster) run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c.logGrown = make(chan struct{})
		for _, e := range c.engines {
			e.changed = make(chan struct{})
		}
		defer c.stopAll()
		f(t)
	})
}

// start starts a new process on the VM, with an empty ledger.
func (v *testVM) start() {
	v.cluster.mu.Lock()
	v.stopped, v.paused, v.leaving = false, false, false
	v.member.Incarnation++
	v.ledger, v.applied, v.confirmed = NewLedger(), 0, time.Time{}
	v.handlers = make(map[string]drpeer.Handler)
	v.ended = make(chan struct{})
	v.cluster.mu.Unlock()
	v.placement = New(Config{
		Policy: v.cluster.policy, Clock: drclock.System{}, Ledger: v.ledger, Journal: &testJournal{v, v.ledger}, Catalogue: v.cluster,
		View: &testView{v.cluster, v.member}, Caller: v, Recorder: drtimeline.Discard{}, LoadsPerSecond: v.cluster.loadsPerSecond,
		Dial: func(b drmember.Backend) drengine.Engine { return &testClient{v.cluster.engines[b.VM], v, v.ended} },
	})
	v.placement.Register(v)
	var ctx context.Context
	ctx, v.cancel = context.WithCancel(context.Background())
	ended, placement := v.ended, v.placement
	go v.follow(ctx, v.ledger)
	go func() {
		placement.Run(ctx)
		close(ended)
	}()
}

// kill ends the process of the VM and waits until its goroutines have ended.
func (v *testVM) kill() {
	v.cluster.mu.Lock()
	if v.stopped {
		v.cluster.mu.Unlock()
		return
	}
	v.stopped = true
	if !v.paused {
		v.unreachableSince = time.Now()
	}
	v.cluster.mu.Unlock()
	v.resume()
	v.cancel()
	<-v.ended
}

// pause stops the VM from sending and reading anything until resume.
func (v *testVM) pause() {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	if !v.stopped && !v.paused {
		v.paused, v.unreachableSince, v.resumed = true, time.Now(), make(chan struct{})
	}
}

func (v *testVM) resume() {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	if v.paused {
		v.paused = false
		close(v.resumed)
	}
}

// drain hands over the runners of the VM as a graceful shutdown does.
func (v *testVM) drain(ctx context.Context) {
	v.cluster.mu.Lock()
	v.leaving = true
	v.cluster.mu.Unlock()
	v.placement.Drain(ctx)
}

// setPausePoint makes the VM pause itself when it next gets to a point.
func (v *testVM) setPausePoint(point string) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	v.pausePoint = point
}

// pauseIfAt pauses the VM if the point is its pause point. It blocks while the
// VM is paused.
func (v *testVM) pauseIfAt(point string) {
	v.cluster.mu.Lock()
	hit := v.pausePoint == point
	if hit {
		v.pausePoint = ""
	}
	v.cluster.mu.Unlock()
	if hit {
		v.pause()
	}
	v.waitWhilePaused()
}

// waitWhilePaused blocks while the VM is paused. It is called before each step
// that has an effect outside the VM.
func (v *testVM) waitWhilePaused() {
	for {
		v.cluster.mu.Lock()
		paused, resumed := v.paused, v.resumed
		v.cluster.mu.Unlock()
		if !paused {
			return
		}
		<-resumed
	}
}

// Handle implements drpeer.Registry.
func (v *testVM) Handle(method string, handler drpeer.Handler) { v.handlers[method] = handler }

// Call implements drpeer.Caller. A call to a VM that is stopped or paused ends
// with an error at its deadline.
func (v *testVM) Call(ctx context.Context, target, method string, req, resp proto.Message) error {
	v.waitWhilePaused()
	time.Sleep(testLatency)
	v.cluster.mu.Lock()
	peer := v.cluster.vms[target]
	down := v.stopped || peer == nil || peer.stopped || peer.paused
	var h drpeer.Handler
	if !down {
		h = peer.handlers[method]
	}
	v.cluster.mu.Unlock()
	if down {
		<-ctx.Done()
		return drerror.Wrap(drerror.MayHaveRun, drerror.Deadline, ctx.Err(), "call")
	}
	b, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	m, err := h(ctx, drpeer.Sender{VM: v.member.VM}, b)
	if err != nil {
		return err
	}
	if b, err = proto.Marshal(m); err != nil {
		return err
	}
	return proto.Unmarshal(b, resp)
}

// follow applies the records of the log to a ledger until ctx ends. It pauses
// while the log is down.
func (v *testVM) follow(ctx context.Context, ledger *Ledger) {
	for ctx.Err() == nil {
		v.waitWhilePaused()
		began := time.Now()
		v.cluster.mu.Lock()
		down, grown := v.cluster.logDown, v.cluster.logGrown
		var rs [][]byte
		first := v.applied
		if !down && v.ledger == ledger {
			rs = v.cluster.records[first:]
		}
		v.cluster.mu.Unlock()
		for i, r := range rs {
			ledger.Apply(drlog.Record{Offset: uint64(first + i + 1), Data: r})
		}
		v.cluster.mu.Lock()
		if v.ledger == ledger && !down {
			v.applied, v.confirmed = first+len(rs), began
		}
		v.cluster.mu.Unlock()
		select {
		case <-grown:
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// testJournal is the Journal of one process of a VM.
type testJournal struct {
	vm     *testVM
	ledger *Ledger
}

func (j *testJournal) Append(ctx context.Context, entry []byte) (uint64, error) {
	j.vm.waitWhilePaused()
	time.Sleep(testLatency)
	j.vm.waitWhilePaused()
	c := j.vm.cluster
	c.mu.Lock()
	if c.logDown || j.vm.stopped {
		c.mu.Unlock()
		<-ctx.Done()
		return 0, drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, ctx.Err(), "append")
	}
	defer c.mu.Unlock()
	if c.delayAppends > 0 {
		c.delayAppends--
		c.lateRecords = append(c.lateRecords, entry)
		return 0, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "no answer")
	}
	if c.loseAnswers > 0 {
		c.loseAnswers--
		if c.loseAnswers%2 == 0 {
			c.addRecord(entry)
		} else {
			c.lateRecords = append(c.lateRecords, entry) // added by the next deliverLateRecords
		}
		return 0, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "answer lost")
	}
	return c.addRecord(entry), nil
}

// addRecord adds a record to the log. The caller holds c.mu.
func (c *cluster) addRecord(entry []byte) uint64 {
	var p drpb.PlacementRecord
	_ = proto.Unmarshal(entry, &p)
	c.recordCounts[fmt.Sprintf("%T", p.Kind)]++
	c.records = append(c.records, entry)
	c.fullLedger.Apply(drlog.Record{Offset: uint64(len(c.records)), Data: entry})
	close(c.logGrown)
	c.logGrown = make(chan struct{})
	return uint64(len(c.records))
}

// deliverLateRecords adds the records of failed appends that were held back.
func (c *cluster) deliverLateRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.lateRecords {
		c.addRecord(e)
	}
	c.lateRecords = nil
}

func (j *testJournal) WaitFor(ctx context.Context, offset uint64) error {
	for j.ledger.Offset() < offset {
		select {
		case <-time.After(testLatency):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	j.vm.pauseIfAt("folded")
	return nil
}

func (j *testJournal) Confirmed() time.Time {
	j.vm.cluster.mu.Lock()
	defer j.vm.cluster.mu.Unlock()
	return j.vm.confirmed
}

// testView is a VM's view of the cluster. A VM that is stopped or paused shows
// as unreachable after 3 s and, if stopped, as gone after 20 s.
type testView struct {
	cluster *cluster
	self    drmember.Member
}

func (w *testView) Self() drmember.Member { return w.self }

func (w *testView) Members() []drmember.Member {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	var ms []drmember.Member
	for _, v := range w.cluster.vms {
		m := v.member
		if v.member.Incarnation == 0 {
			continue
		}
		if (v.stopped || v.paused) && time.Since(v.unreachableSince) > 3*time.Second && m.VM != w.self.VM {
			m.State = drmember.Unreachable
		}
		if v.leaving {
			m.State = drmember.Leaving
		}
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b drmember.Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return ms
}

func (w *testView) Candidates() []drmember.Member {
	return slices.DeleteFunc(w.Members(), func(m drmember.Member) bool { return m.State >= drmember.Unreachable })
}

func (w *testView) Gone(vm string) bool {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	v := w.cluster.vms[vm]
	return v != nil && v.stopped && v.member.Incarnation > 0 && time.Since(v.unreachableSince) > 20*time.Second
}

func (w *testView) Backends(string) []drmember.Backend {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return slices.Clone(w.cluster.backends)
}

// The methods below implement Catalogue.

func (c *cluster) Offset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configOffset
}

func (c *cluster) Models() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ms []string
	for m := range c.models {
		ms = append(ms, m)
	}
	slices.Sort(ms)
	return ms
}

func (c *cluster) Model(name string) (ModelSpec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.models[name]
	return m, ok
}

func (c *cluster) Adapter(name string) (AdapterSpec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.adapters[name]
	return a, ok
}

func (c *cluster) EngineFleets() []string    { return []string{"llm"} }
func (c *cluster) ChecksFencing(string) bool { return c.fencing }

// checkInvariants returns an error if an engine holds a replica without a
// right, or more replicas of a model exist than rights (I1), or the replicas on
// an engine exceed its memory (I2).
func (c *cluster) checkInvariants() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := make(map[string]int)
	for name, e := range c.engines {
		var sum int64
		for _, r := range e.replicas {
			sum += r.Bytes
			if c.fullLedger.RightsOn(name)[r.Model].Grant == 0 {
				return fmt.Errorf("I1: %s has a replica of %s without a right", name, r.Model)
			}
			if r.Adapter == "" {
				count[r.Model]++
			}
		}
		if sum > e.memory {
			return fmt.Errorf("I2: %s holds %d GB of %d GB", name, sum/gigabyte, e.memory/gigabyte)
		}
	}
	for m, n := range count {
		if rights := len(c.fullLedger.Rights(m)); n > rights {
			return fmt.Errorf("I1: %s has %d replicas under %d rights", m, n, rights)
		}
	}
	return nil
}

// loadsOf returns the number of loads of a model or adapter that all engines
// have started.
func (c *cluster) loadsOf(model string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.engines {
		n += e.loads[model]
	}
	return n
}

// ownRecords returns the number of own records in the log.
func (c *cluster) ownRecords() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recordCounts["*drpb.PlacementRecord_Own"]
}

func (c *cluster) replicasOn(runner string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.engines[runner].replicas)
}

// recordCount returns the number of records in the log.
func (c *cluster) recordCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

// waitUntilSettled sleeps for long enough that VMs take over their runners and
// grant the minimum numbers of rights.
func (c *cluster) waitUntilSettled() { time.Sleep(15 * time.Second) }
