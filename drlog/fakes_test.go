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

// fakeLog is an in-memory log with a single stream; stream names are ignored.
type fakeLog struct {
	clock    drclock.Clock
	mu       sync.Mutex
	records  []drlog.Record
	next     uint64
	down     bool
	delay    time.Duration // added to every read
	appended chan struct{} // closed and replaced by each append
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

// truncate removes the records below offset first, as retention does.
func (l *fakeLog) truncate(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.records[0].Offset < first {
		l.records = l.records[1:]
	}
}

// page returns the records from offset from on and a channel that is closed by the
// next append.
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
		p, appended, err := l.page(from)
		if err != nil || len(p.Records) > 0 {
			return p, err
		}
		select {
		case <-appended:
		case <-t.C():
			p, _, err = l.page(from)
			return p, err
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// partitionableLog is one VM's connection to a log. While partitioned, its reads
// fail; appends still work.
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
	if l.isPartitioned() { // the response of a poll that was held open is lost too
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

// entryList is a Folder that keeps all entries in order.
type entryList struct {
	Last     uint64
	Entries  []string
	wentBack bool // a record was not newer than the last one, or a state was older
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

// fakeNetwork delivers peer calls between the VMs of one test.
type fakeNetwork struct {
	inFlight       atomic.Int32 // calls in progress
	mu             sync.Mutex
	handlers       map[string]map[string]drpeer.Handler
	partitions     map[string]int // by VM; VMs in different partitions cannot reach each other
	rejectedMethod string         // calls of this method fail on all VMs
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{handlers: make(map[string]map[string]drpeer.Handler), partitions: make(map[string]int)}
}

func (n *fakeNetwork) members() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var vms []string
	for vm := range n.handlers {
		vms = append(vms, vm)
	}
	return vms
}

func (n *fakeNetwork) setPartition(vm string, partition int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[vm] = partition
}

func (n *fakeNetwork) rejectMethod(method string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejectedMethod = method
}

// fakeEndpoint is one VM's connection to the fakeNetwork. It is the VM's registry of
// handlers and its caller.
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
		return drerror.New(drerror.NotRun, drerror.Unavailable, "VM %s is unreachable", vm)
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

// testVM is an entry VM that follows one stream of the log.
type testVM struct {
	name      string
	log       *partitionableLog
	folder    *entryList
	follower  *drlog.Follower
	relay     *drlog.PeerRelay
	freshness *drlog.Freshness
}

// testCluster is a log, VMs and a fake clock that advances only while a test waits
// in advance or waitUntil.
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

// newVM adds a VM but does not start it. change, if not nil, modifies the
// follower's configuration.
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

// run starts the VM. The returned function stops it and waits until it has ended.
func (cluster *testCluster) run(v *testVM) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = v.follower.Run(ctx) })
	running.Go(func() { _ = v.freshness.Run(ctx) })
	stop = func() { cancel(); running.Wait() }
	cluster.t.Cleanup(stop)
	return stop
}

// append appends entries directly to the log.
func (cluster *testCluster) append(entries ...string) {
	cluster.t.Helper()
	for _, e := range entries {
		if _, err := drlog.AppendEntry(context.Background(), cluster.log, "s", []byte(e)); err != nil {
			cluster.t.Fatal(err)
		}
	}
}

// waitUntil advances the clock until cond holds. It fails the test after a minute on
// the fake clock.
func (cluster *testCluster) waitUntil(what string, cond func() bool) {
	cluster.t.Helper()
	for range 1200 {
		if cond() {
			return
		}
		cluster.advance(50 * time.Millisecond)
	}
	cluster.t.Fatal("timed out waiting for: " + what)
}

// maxCallWait limits the real time that advance waits for calls in progress.
const maxCallWait = 2 * time.Second

// advance moves the clock forward by d in small steps, so that goroutines keep up.
// The clock stands still while calls are in progress. Otherwise a call that takes
// long in real time, such as a large response on a busy machine, would time out.
func (cluster *testCluster) advance(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		for end := time.Now().Add(maxCallWait); cluster.network.inFlight.Load() > 0 && time.Now().Before(end); {
			time.Sleep(500 * time.Microsecond)
		}
		cluster.clock.Advance(50 * time.Millisecond)
		time.Sleep(500 * time.Microsecond)
	}
}

// waitForOffset advances the clock until the VM has applied the record at offset.
func (cluster *testCluster) waitForOffset(v *testVM, offset uint64) {
	cluster.t.Helper()
	cluster.waitUntil(fmt.Sprintf("%s at offset %d", v.name, offset), func() bool { return v.follower.Offset() >= offset })
}

// entries returns the concatenated entries that the VM's folder holds, or "moved
// back" if the folder ever went back to an older state.
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
