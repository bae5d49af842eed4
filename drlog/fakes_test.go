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
	clock    drclock.Clock
	mu       sync.Mutex
	records  []drlog.Record
	next     uint64
	down     bool
	delay    time.Duration // of every read
	appended chan struct{}
}

func newFakeLog(c drclock.Clock) *fakeLog {
	return &fakeLog{clock: c, next: 1, appended: make(chan struct{})}
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, drerror.New(drerror.NotRun, drerror.LogUnavailable, "down")
	}
	l.records = append(l.records, drlog.Record{Offset: l.next, Time: l.clock.Now(), Data: data})
	l.next++
	close(l.appended)
	l.appended = make(chan struct{})
	return l.next - 1, nil
}

func (l *fakeLog) setDown(down bool) {
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
	return p, l.appended, nil
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

// partitionableLog is one VM's way to a log.
type partitionableLog struct {
	*fakeLog
	mu          sync.Mutex
	partitioned bool
}

func (l *partitionableLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (drlog.Page, error) {
	if l.isPartitioned() {
		return drlog.Page{}, errors.New("cut off")
	}
	p, err := l.fakeLog.Read(ctx, stream, from, limit, wait)
	if l.isPartitioned() { // the answer of a held poll is lost as well
		return drlog.Page{}, errors.New("cut off")
	}
	return p, err
}

func (l *partitionableLog) isPartitioned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned
}

func (l *partitionableLog) setPartitioned(partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = partitioned
}

// entryList is a Folder that keeps the entries in order.
type entryList struct {
	Last     uint64
	Entries  []string
	wentBack bool // a record or state came that is not newer
}

func (l *entryList) Apply(r drlog.Record) {
	l.wentBack = l.wentBack || r.Offset <= l.Last
	l.Last = r.Offset
	l.Entries = append(l.Entries, string(r.Data))
}

func (l *entryList) Snapshot() []byte {
	b, _ := json.Marshal(l)
	return b
}

func (l *entryList) Restore(offset uint64, snapshot []byte) error {
	restored := entryList{}
	if err := json.Unmarshal(snapshot, &restored); err != nil {
		return err
	}
	l.wentBack = l.wentBack || offset < l.Last
	l.Last, l.Entries = offset, restored.Entries
	return nil
}

// fakeNetwork calls between the PeerRelays of one test.
type fakeNetwork struct {
	inFlight       atomic.Int32 // in progress
	mu             sync.Mutex
	handlers       map[string]map[string]drpeer.Handler
	partitions     map[string]int // VMs of different groups do not reach each other
	rejectedMethod string         // method that no VM answers
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{handlers: make(map[string]map[string]drpeer.Handler), partitions: make(map[string]int)}
}

func (m *fakeNetwork) members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var vms []string
	for vm := range m.handlers {
		vms = append(vms, vm)
	}
	return vms
}

func (m *fakeNetwork) setPartition(vm string, partition int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitions[vm] = partition
}

func (m *fakeNetwork) rejectMethod(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejectedMethod = method
}

// fakeEndpoint is one VM's end of a mesh.
type fakeEndpoint struct {
	*fakeNetwork
	vm string
}

func (e fakeEndpoint) Handle(method string, h drpeer.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handlers[e.vm] == nil {
		e.handlers[e.vm] = make(map[string]drpeer.Handler)
	}
	e.handlers[e.vm][method] = h
}

func (e fakeEndpoint) Call(ctx context.Context, vm, method string, req, resp proto.Message) error {
	e.mu.Lock()
	handler, unreachable := e.handlers[vm][method], e.partitions[vm] != e.partitions[e.vm] || method == e.rejectedMethod
	e.mu.Unlock()
	if unreachable || handler == nil {
		return drerror.New(drerror.NotRun, drerror.Unavailable, "no way to %s", vm)
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	body, _ := proto.Marshal(req)
	answer, err := handler(ctx, drpeer.Sender{VM: e.vm}, body)
	if err != nil {
		return err
	}
	answerBody, _ := proto.Marshal(answer)
	return proto.Unmarshal(answerBody, resp)
}

// testVM is one entry VM of a test.
type testVM struct {
	name      string
	log       *partitionableLog
	folder    *entryList
	follower  *drlog.Follower
	relay     *drlog.PeerRelay
	freshness *drlog.Freshness
}

// testCluster is a log, some VMs and a clock that runs only while a test waits.
type testCluster struct {
	t       *testing.T
	clock   *drclock.Fake
	log     *fakeLog
	network *fakeNetwork
}

func newTestCluster(t *testing.T) *testCluster {
	clock := drclock.NewFake(time.Unix(1_000_000, 0))
	return &testCluster{t, clock, newFakeLog(clock), newFakeNetwork()}
}

// newVM adds a VM that does not run yet.
func (cluster *testCluster) newVM(name string, change func(*drlog.FollowerConfig)) *testVM {
	v := &testVM{name: name, log: &partitionableLog{fakeLog: cluster.log}, folder: &entryList{}}
	endpoint := fakeEndpoint{cluster.network, name}
	v.relay = drlog.NewPeerRelay(drlog.PeerRelayConfig{Caller: endpoint, Self: name, Members: cluster.network.members, Clock: cluster.clock})
	config := drlog.FollowerConfig{Log: v.log, Stream: "s", Folder: v.folder, Clock: cluster.clock, Peers: v.relay}
	if change != nil {
		change(&config)
	}
	v.follower = drlog.NewFollower(config)
	v.relay.Add(v.follower)
	v.relay.Register(endpoint)
	v.freshness = drlog.NewFreshness(drlog.FreshnessConfig{
		Followers: []*drlog.Follower{v.follower}, Peers: v.relay, Members: cluster.network.members, Self: name,
		Clock: cluster.clock, ServeWithoutLog: time.Minute,
	})
	return v
}

// run starts the VM; the returned function stops it.
func (cluster *testCluster) run(v *testVM) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = v.follower.Run(ctx) })
	running.Go(func() { _ = v.freshness.Run(ctx) })
	stop = func() { cancel(); running.Wait() }
	cluster.t.Cleanup(stop)
	return stop
}

func (cluster *testCluster) append(entries ...string) {
	cluster.t.Helper()
	for _, e := range entries {
		if _, err := drlog.AppendEntry(context.Background(), cluster.log, "s", []byte(e)); err != nil {
			cluster.t.Fatal(err)
		}
	}
}

// waitUntil lets the clock run until cond holds, for at most a minute of its time.
func (cluster *testCluster) waitUntil(what string, cond func() bool) {
	cluster.t.Helper()
	for range 1200 {
		if cond() {
			return
		}
		cluster.advance(50 * time.Millisecond)
	}
	cluster.t.Fatal("did not happen: " + what)
}

// maxCallWait bounds the real time that pass waits for calls in progress.
const maxCallWait = 2 * time.Second

// advance moves the clock in small steps, so that goroutines keep up. Calls take no
// time on that clock: it stands still while one is in progress, or a large
// answer on a busy machine would be late.
func (cluster *testCluster) advance(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		for end := time.Now().Add(maxCallWait); cluster.network.inFlight.Load() > 0 && time.Now().Before(end); {
			time.Sleep(500 * time.Microsecond)
		}
		cluster.clock.Advance(50 * time.Millisecond)
		time.Sleep(500 * time.Microsecond)
	}
}

func (cluster *testCluster) waitForOffset(v *testVM, offset uint64) {
	cluster.t.Helper()
	cluster.waitUntil(fmt.Sprintf("%s at offset %d", v.name, offset), func() bool { return v.follower.Offset() >= offset })
}

func (v *testVM) entries() (text string) {
	v.follower.View(func() {
		for _, e := range v.folder.Entries {
			text += e
		}
		if v.folder.wentBack {
			text = "moved back"
		}
	})
	return text
}
