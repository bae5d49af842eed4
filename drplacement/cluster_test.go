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
	// testLag is how old an engine's report is when it arrives.
	testLag = 30 * time.Millisecond
)

// cluster is a set of VMs with fakes of the log, the engines and the peers. It
// lives in a synctest bubble, whose clock is fake.
type cluster struct {
	mu      sync.Mutex
	records [][]byte
	kinds   map[string]int
	grown   chan struct{}
	logDown bool
	lose    int // answers of appends to lose; every other arrives late
	delay   int // appends to answer with an error, which arrive late
	late    [][]byte
	truth   *Ledger
	vms     map[string]*testVM
	engines map[string]*testEngine
	fleet   []drmember.Backend
	fencing bool
	offset  uint64
	models  map[string]ModelSpec
	adapt   map[string]AdapterSpec
	rate    float64
	policy  Policy
}

type testVM struct {
	c         *cluster
	member    drmember.Member
	place     *Place
	ledger    *Ledger
	applied   int
	confirmed time.Time
	handlers  map[string]drpeer.Handler
	cancel    context.CancelFunc
	ended     chan struct{}
	dead      bool
	paused    bool
	leaving   bool
	lag       time.Duration // age of engine reports if longer than testLag
	// pauseAt names a point at which the VM pauses itself once.
	pauseAt     string
	silentSince time.Time
	resumed     chan struct{}
}

func newCluster(vms, runners int, fencing bool) *cluster {
	c := &cluster{
		kinds: make(map[string]int), grown: make(chan struct{}), truth: NewLedger(), vms: make(map[string]*testVM),
		engines: make(map[string]*testEngine), fencing: fencing, offset: 1,
		models: make(map[string]ModelSpec), adapt: make(map[string]AdapterSpec), rate: 1000,
	}
	for i := range runners {
		name := fmt.Sprintf("r%d", i)
		c.engines[name] = &testEngine{c: c, name: name, memory: 10 * gigabyte, took: 2 * time.Second, instance: 1, version: 1, changed: make(chan struct{})}
		c.fleet = append(c.fleet, drmember.Backend{VM: name, Fleet: "llm", Zone: fmt.Sprintf("z%d", i%3), Address: name})
	}
	for i := range vms {
		name := fmt.Sprintf("vm%02d", i)
		c.vms[name] = &testVM{c: c, member: drmember.Member{VM: name, Zone: fmt.Sprintf("z%d", i%3)}, dead: true}
	}
	return c
}

func (c *cluster) model(name string, gigabytes int64, least, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset++
	c.models[name] = ModelSpec{Name: name, Fleet: "llm", Bytes: gigabytes * gigabyte, Min: least, Max: most}
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
	time.Sleep(time.Minute) // lets calls on their way end
}

// run runs f in a bubble and stops all VMs afterwards.
func (c *cluster) run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c.grown = make(chan struct{})
		for _, e := range c.engines {
			e.changed = make(chan struct{})
		}
		defer c.stopAll()
		f(t)
	})
}

func (v *testVM) start() {
	v.c.mu.Lock()
	v.dead, v.paused, v.leaving = false, false, false
	v.member.Incarnation++
	v.ledger, v.applied, v.confirmed = NewLedger(), 0, time.Time{}
	v.handlers = make(map[string]drpeer.Handler)
	v.ended = make(chan struct{})
	v.c.mu.Unlock()
	v.place = New(Config{
		Policy: v.c.policy, Clock: drclock.System{}, Ledger: v.ledger, Journal: &testJournal{v, v.ledger}, Catalogue: v.c,
		View: &testView{v.c, v.member}, Caller: v, Recorder: drtimeline.Discard{}, LoadsPerSecond: v.c.rate,
		Dial: func(b drmember.Backend) drengine.Engine { return &testClient{v.c.engines[b.VM], v, v.ended} },
	})
	v.place.Register(v)
	var ctx context.Context
	ctx, v.cancel = context.WithCancel(context.Background())
	ended, place := v.ended, v.place
	go v.follow(ctx, v.ledger)
	go func() {
		place.Run(ctx)
		close(ended)
	}()
}

func (v *testVM) kill() {
	v.c.mu.Lock()
	if v.dead {
		v.c.mu.Unlock()
		return
	}
	v.dead = true
	if !v.paused {
		v.silentSince = time.Now()
	}
	v.c.mu.Unlock()
	v.resume()
	v.cancel()
	<-v.ended
}

func (v *testVM) pause() {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	if !v.dead && !v.paused {
		v.paused, v.silentSince, v.resumed = true, time.Now(), make(chan struct{})
	}
}

func (v *testVM) resume() {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	if v.paused {
		v.paused = false
		close(v.resumed)
	}
}

// drain hands the VM's runners over as a graceful shutdown does.
func (v *testVM) drain(ctx context.Context) {
	v.c.mu.Lock()
	v.leaving = true
	v.c.mu.Unlock()
	v.place.Drain(ctx)
}

// pauseLater makes the VM pause itself at a point.
func (v *testVM) pauseLater(point string) {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	v.pauseAt = point
}

// reach pauses the VM if it is to pause at this point.
func (v *testVM) reach(point string) {
	v.c.mu.Lock()
	hit := v.pauseAt == point
	if hit {
		v.pauseAt = ""
	}
	v.c.mu.Unlock()
	if hit {
		v.pause()
	}
	v.gate()
}

// gate blocks while the VM is paused; what passes it has an effect outside.
func (v *testVM) gate() {
	for {
		v.c.mu.Lock()
		paused, resumed := v.paused, v.resumed
		v.c.mu.Unlock()
		if !paused {
			return
		}
		<-resumed
	}
}

// Handle implements drpeer.Registry.
func (v *testVM) Handle(method string, h drpeer.Handler) { v.handlers[method] = h }

// Call implements drpeer.Caller.
func (v *testVM) Call(ctx context.Context, to, method string, req, resp proto.Message) error {
	v.gate()
	time.Sleep(testLatency)
	v.c.mu.Lock()
	peer := v.c.vms[to]
	down := v.dead || peer == nil || peer.dead || peer.paused
	var h drpeer.Handler
	if !down {
		h = peer.handlers[method]
	}
	v.c.mu.Unlock()
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

// follow applies the log to the ledger as long as it can be read.
func (v *testVM) follow(ctx context.Context, l *Ledger) {
	for ctx.Err() == nil {
		v.gate()
		began := time.Now()
		v.c.mu.Lock()
		down, grown := v.c.logDown, v.c.grown
		var rs [][]byte
		first := v.applied
		if !down && v.ledger == l {
			rs = v.c.records[first:]
		}
		v.c.mu.Unlock()
		for i, r := range rs {
			l.Apply(drlog.Record{Offset: uint64(first + i + 1), Data: r})
		}
		v.c.mu.Lock()
		if v.ledger == l && !down {
			v.applied, v.confirmed = first+len(rs), began
		}
		v.c.mu.Unlock()
		select {
		case <-grown:
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

type testJournal struct {
	v *testVM
	l *Ledger
}

func (j *testJournal) Append(ctx context.Context, entry []byte) (uint64, error) {
	j.v.gate()
	time.Sleep(testLatency)
	j.v.gate()
	c := j.v.c
	c.mu.Lock()
	if c.logDown || j.v.dead {
		c.mu.Unlock()
		<-ctx.Done()
		return 0, drerror.Wrap(drerror.MayHaveRun, drerror.LogUnavailable, ctx.Err(), "append")
	}
	defer c.mu.Unlock()
	if c.delay > 0 {
		c.delay--
		c.late = append(c.late, entry)
		return 0, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "no answer")
	}
	if c.lose > 0 {
		c.lose--
		if c.lose%2 == 0 {
			c.add(entry)
		} else {
			c.late = append(c.late, entry) // arrives at the next flush
		}
		return 0, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable, "answer lost")
	}
	return c.add(entry), nil
}

func (c *cluster) add(entry []byte) uint64 {
	var p drpb.PlacementRecord
	_ = proto.Unmarshal(entry, &p)
	c.kinds[fmt.Sprintf("%T", p.Kind)]++
	c.records = append(c.records, entry)
	c.truth.Apply(drlog.Record{Offset: uint64(len(c.records)), Data: entry})
	close(c.grown)
	c.grown = make(chan struct{})
	return uint64(len(c.records))
}

// flush lets appends arrive whose answer was lost before.
func (c *cluster) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.late {
		c.add(e)
	}
	c.late = nil
}

func (j *testJournal) WaitFor(ctx context.Context, offset uint64) error {
	for j.l.Offset() < offset {
		select {
		case <-time.After(testLatency):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	j.v.reach("folded")
	return nil
}

func (j *testJournal) Confirmed() time.Time {
	j.v.c.mu.Lock()
	defer j.v.c.mu.Unlock()
	return j.v.confirmed
}

type testView struct {
	c    *cluster
	self drmember.Member
}

func (w *testView) Self() drmember.Member { return w.self }

func (w *testView) Members() []drmember.Member {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	var ms []drmember.Member
	for _, v := range w.c.vms {
		m := v.member
		if v.member.Incarnation == 0 {
			continue
		}
		if (v.dead || v.paused) && time.Since(v.silentSince) > 3*time.Second && m.VM != w.self.VM {
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
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	v := w.c.vms[vm]
	return v != nil && v.dead && v.member.Incarnation > 0 && time.Since(v.silentSince) > 20*time.Second
}

func (w *testView) Backends(string) []drmember.Backend {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return slices.Clone(w.c.fleet)
}

// cluster implements Catalogue.

func (c *cluster) Offset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
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
	a, ok := c.adapt[name]
	return a, ok
}

func (c *cluster) EngineFleets() []string    { return []string{"llm"} }
func (c *cluster) ChecksFencing(string) bool { return c.fencing }

// check returns a violation of I1 or I2, if there is one.
func (c *cluster) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := make(map[string]int)
	for name, e := range c.engines {
		var sum int64
		for _, r := range e.replicas {
			sum += r.Bytes
			if c.truth.RightsOn(name)[r.Model].Grant == 0 {
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
		if rights := len(c.truth.Rights(m)); n > rights {
			return fmt.Errorf("I1: %s has %d replicas under %d rights", m, n, rights)
		}
	}
	return nil
}

// loadsOf returns the number of loads of a model that all engines started.
func (c *cluster) loadsOf(model string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.engines {
		n += e.loads[model]
	}
	return n
}

// owns returns the number of own records in the log.
func (c *cluster) owns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds["*drpb.PlacementRecord_Own"]
}

func (c *cluster) replicasOn(runner string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.engines[runner].replicas)
}

func (c *cluster) appends() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

// settle lets the VMs take over their runners and grant the minimum.
func (c *cluster) settle() { time.Sleep(15 * time.Second) }
