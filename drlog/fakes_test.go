package drlog_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// fakeLog is a log in memory with one stream.
type fakeLog struct {
	clock   drclock.Clock
	mu      sync.Mutex
	records []drlog.Record
	next    uint64
	down    bool
	delay   time.Duration // of every read
	grown   chan struct{}
}

func newFakeLog(c drclock.Clock) *fakeLog {
	return &fakeLog{clock: c, next: 1, grown: make(chan struct{})}
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, drerror.New(drerror.NotRun, drerror.LogUnavailable, "down")
	}
	l.records = append(l.records, drlog.Record{Offset: l.next, Time: l.clock.Now(), Data: data})
	l.next++
	close(l.grown)
	l.grown = make(chan struct{})
	return l.next - 1, nil
}

func (l *fakeLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// truncate removes the records below first.
func (l *fakeLog) truncate(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.records[0].Offset < first {
		l.records = l.records[1:]
	}
}

func (l *fakeLog) page(from uint64) (drlog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := drlog.Page{First: l.next - uint64(len(l.records)), Next: l.next}
	if l.down {
		return p, nil, errors.New("down")
	}
	if from < p.First {
		return p, nil, &drlog.GapError{From: from, First: p.First, Next: p.Next}
	}
	if from < p.Next {
		p.Records = append(p.Records, l.records[from-p.First:]...)
	}
	return p, l.grown, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (drlog.Page, error) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if err := l.clock.Sleep(ctx, delay); err != nil {
		return drlog.Page{}, err
	}
	t := l.clock.NewTimer(wait)
	defer t.Stop()
	for {
		p, grown, err := l.page(from)
		if err != nil || len(p.Records) > 0 {
			return p, err
		}
		select {
		case <-grown:
		case <-t.C():
			p, _, err = l.page(from)
			return p, err
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// cutLog is one VM's way to a log.
type cutLog struct {
	*fakeLog
	mu  sync.Mutex
	cut bool
}

func (l *cutLog) Read(ctx context.Context, s string, from uint64, n int, wait time.Duration) (drlog.Page, error) {
	if l.isCut() {
		return drlog.Page{}, errors.New("cut off")
	}
	p, err := l.fakeLog.Read(ctx, s, from, n, wait)
	if l.isCut() { // the answer of a held poll is lost as well
		return drlog.Page{}, errors.New("cut off")
	}
	return p, err
}

func (l *cutLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *cutLog) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// list is a Folder that keeps the entries in order.
type list struct {
	Last    uint64
	Entries []string
	back    bool // a record or state came that is not newer
}

func (l *list) Apply(r drlog.Record) {
	l.back = l.back || r.Offset <= l.Last
	l.Last = r.Offset
	l.Entries = append(l.Entries, string(r.Data))
}

func (l *list) Snapshot() []byte {
	b, _ := json.Marshal(l)
	return b
}

func (l *list) Restore(offset uint64, b []byte) error {
	n := list{}
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	l.back = l.back || offset < l.Last
	l.Last, l.Entries = offset, n.Entries
	return nil
}

// mesh calls between the PeerRelays of one test.
type mesh struct {
	calls    atomic.Int32 // in progress
	mu       sync.Mutex
	handlers map[string]map[string]drpeer.Handler
	groups   map[string]int // VMs of different groups do not reach each other
	refused  string         // method that no VM answers
}

func newMesh() *mesh {
	return &mesh{handlers: make(map[string]map[string]drpeer.Handler), groups: make(map[string]int)}
}

func (m *mesh) members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var vms []string
	for vm := range m.handlers {
		vms = append(vms, vm)
	}
	return vms
}

func (m *mesh) group(vm string, g int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups[vm] = g
}

func (m *mesh) refuse(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = method
}

// meshEnd is one VM's end of a mesh.
type meshEnd struct {
	*mesh
	vm string
}

func (e meshEnd) Handle(method string, h drpeer.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handlers[e.vm] == nil {
		e.handlers[e.vm] = make(map[string]drpeer.Handler)
	}
	e.handlers[e.vm][method] = h
}

func (e meshEnd) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	e.mu.Lock()
	h, cut := e.handlers[vm][method], e.groups[vm] != e.groups[e.vm] || method == e.refused
	e.mu.Unlock()
	if cut || h == nil {
		return drerror.New(drerror.NotRun, drerror.Unavailable, "no way to %s", vm)
	}
	e.calls.Add(1)
	defer e.calls.Add(-1)
	body, _ := proto.Marshal(req)
	a, err := h(ctx, drpeer.Sender{VM: e.vm}, body)
	if err != nil {
		return err
	}
	b, _ := proto.Marshal(a)
	return proto.Unmarshal(b, resp)
}

// vm is one entry VM of a test.
type vm struct {
	name      string
	log       *cutLog
	folder    *list
	follower  *drlog.Follower
	relay     *drlog.PeerRelay
	freshness *drlog.Freshness
}

// world is a log, some VMs and a clock that runs only while a test waits.
type world struct {
	t     *testing.T
	clock *drclock.Fake
	log   *fakeLog
	mesh  *mesh
}

func newWorld(t *testing.T) *world {
	c := drclock.NewFake(time.Unix(1_000_000, 0))
	return &world{t, c, newFakeLog(c), newMesh()}
}

// vm adds a VM that does not run yet.
func (w *world) vm(name string, change func(*drlog.FollowerConfig)) *vm {
	v := &vm{name: name, log: &cutLog{fakeLog: w.log}, folder: &list{}}
	end := meshEnd{w.mesh, name}
	v.relay = drlog.NewPeerRelay(drlog.PeerRelayConfig{Caller: end, Self: name, Members: w.mesh.members, Clock: w.clock})
	c := drlog.FollowerConfig{Log: v.log, Stream: "s", Folder: v.folder, Clock: w.clock, Peers: v.relay}
	if change != nil {
		change(&c)
	}
	v.follower = drlog.NewFollower(c)
	v.relay.Add(v.follower)
	v.relay.Register(end)
	v.freshness = drlog.NewFreshness(drlog.FreshnessConfig{
		Followers: []*drlog.Follower{v.follower}, Peers: v.relay, Members: w.mesh.members, Self: name,
		Clock: w.clock, ServeWithoutLog: time.Minute,
	})
	return v
}

// run starts the VM; the returned function stops it.
func (w *world) run(v *vm) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = v.follower.Run(ctx) })
	g.Go(func() { _ = v.freshness.Run(ctx) })
	stop = func() { cancel(); g.Wait() }
	w.t.Cleanup(stop)
	return stop
}

func (w *world) append(entries ...string) {
	w.t.Helper()
	for _, e := range entries {
		if _, err := drlog.AppendEntry(context.Background(), w.log, "s", []byte(e)); err != nil {
			w.t.Fatal(err)
		}
	}
}

// until lets the clock run until cond holds, for at most a minute of its time.
func (w *world) until(what string, cond func() bool) {
	w.t.Helper()
	for range 1200 {
		if cond() {
			return
		}
		w.pass(50 * time.Millisecond)
	}
	w.t.Fatal("did not happen: " + what)
}

// callPatience bounds the real time that pass waits for calls in progress.
const callPatience = 2 * time.Second

// pass moves the clock in small steps, so that goroutines keep up. Calls take no
// time on that clock: it stands still while one is in progress, or a large
// answer on a busy machine would be late.
func (w *world) pass(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		for end := time.Now().Add(callPatience); w.mesh.calls.Load() > 0 && time.Now().Before(end); {
			time.Sleep(500 * time.Microsecond)
		}
		w.clock.Advance(50 * time.Millisecond)
		time.Sleep(500 * time.Microsecond)
	}
}

func (w *world) caughtUp(v *vm, offset uint64) {
	w.t.Helper()
	w.until(fmt.Sprintf("%s at offset %d", v.name, offset), func() bool { return v.follower.Offset() >= offset })
}

func (v *vm) entries() (text string) {
	v.follower.View(func() {
		for _, e := range v.folder.Entries {
			text += e
		}
		if v.folder.back {
			text = "moved back"
		}
	})
	return text
}
