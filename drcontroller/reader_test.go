package drcontroller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// textCodec decodes a configuration from "VERSION" and a runner from "STARTED
// BEAT". It panics on a runner "!".
type textCodec struct{}

func (textCodec) Deployment(value []byte) (*drfleet.Deployment, error) {
	var c drfleet.Config
	if _, err := fmt.Sscan(string(value), &c.Version); err != nil {
		return nil, err
	}
	return drfleet.NewDeployment(c)
}

func (textCodec) OutOfService(key string) (string, bool) { return strings.CutPrefix(key, "out/") }

func (textCodec) Runner(id string, value []byte) (*drfleet.Runner, error) {
	if string(value) == "!" {
		panic("unexpected")
	}
	r := &drfleet.Runner{ID: id, Service: "llm"}
	if _, err := fmt.Sscan(string(value), &r.Started, &r.Beat); err != nil {
		return nil, err
	}
	return r, nil
}

// readerFixture is a reader with an in-memory store and a fake clock.
type readerFixture struct {
	store  *drstandin.MemoryStore
	clock  *drclock.Fake
	view   *drfleetview.View
	reader *reader
}

// testHeartbeat is the interval at which runners write their entries.
const testHeartbeat = time.Second

func newReaderFixture() *readerFixture {
	clock := drclock.NewFake(time.Unix(1000, 0))
	w := &readerFixture{store: drstandin.NewMemoryStore(), clock: clock, view: drfleetview.New(clock)}
	w.reader = newReader(readerConfig{log: w.store, codec: guardedCodec{textCodec{}}, view: w.view, clock: clock, heartbeat: testHeartbeat})
	return w
}

func (w *readerFixture) runners() int { return len(w.view.Runners("")) }

// Guards against a VM that keeps an old configuration or old runners, or stops
// reading, after the store has expired the records at its position.
func TestReaderSurvivesExpiry(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Deployments, "config", []byte("3"))
	w.store.Put(drstore.Runners, "r1", []byte("1 1"))
	w.store.Put(drstore.Runners, "r2", []byte("1 1"))
	is.NoErr(w.reader.readDeployment(ctx, 0))
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 2)
	w.store.Put(drstore.Deployments, "config", []byte("8"))
	w.store.Put(drstore.Runners, "r2", nil)
	w.store.Expire(drstore.Deployments)
	w.store.Expire(drstore.Runners)
	is.NoErr(w.reader.readDeployment(ctx, 0))
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.reading()) // of the newest entries, in its turn
	is.NoErr(w.reader.readRunners(ctx))
	d, _ := w.view.Deployment()
	is.Equal(d.Version, int64(8))
	is.Equal(w.runners(), 1)
}

// Guards against a runner that has left and is kept as if its entry had expired in an outage,
// because it wrote and left between two reads after a failed one.
func TestRunnerThatWroteAndLeftBetweenReadsGoes(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Runners, "left", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	w.store.Put(drstore.Runners, "left", []byte("1 2"))
	w.clock.Advance(time.Second)
	is.NoErr(w.reader.readRunners(ctx))
	w.clock.Advance(10 * time.Second)
	w.store.SetFault(drstore.ErrRefused, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	is.NoErr(w.reader.readRunners(ctx))
	w.clock.Advance(time.Second)
	w.store.Put(drstore.Runners, "left", []byte("1 3"))
	w.store.Put(drstore.Runners, "left", nil)
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 0)
}

// Guards against removing live runners whose entries expired during an outage
// of the store, and against keeping a runner that does not write its entry
// again.
func TestReaderWaitsForLapsedEntries(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Runners, "back", []byte("1 1"))
	w.store.Put(drstore.Runners, "lost", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	w.store.SetFault(drstore.ErrRefused, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	w.store.Put(drstore.Runners, "back", nil)
	w.store.Put(drstore.Runners, "lost", nil)
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 2)
	w.store.Put(drstore.Runners, "back", []byte("1 2"))
	w.clock.Advance(lapsedEntryGrace)
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 1)

	w.clock.Advance(time.Minute)
	w.store.Put(drstore.Runners, "back", nil) // no outage: the runner is removed at once
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 0)
}

// Guards against a runner that has left and goes on being used because a read of the
// store has failed shortly before, as after a reset of its connection.
func TestReaderDropsRunnerThatLeftAfterFailedRead(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Runners, "leaves", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	w.store.Put(drstore.Runners, "leaves", []byte("1 2"))
	is.NoErr(w.reader.readRunners(ctx))
	w.clock.Advance(missedHeartbeats*testHeartbeat - time.Millisecond)
	w.store.SetFault(drstandin.ErrNoAnswer, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	w.store.Put(drstore.Runners, "leaves", nil)
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 0)
}

// Guards against unreadable entries, for example of other writers, that take
// runners out of service, or the process down because the decoder panics.
func TestReaderSkipsUnreadableEntries(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Runners, "r1", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	w.store.Put(drstore.Runners, "forged", []byte("?"))
	w.store.Put(drstore.Runners, "r1", []byte("?"))
	w.store.Put(drstore.Runners, "r2", []byte("!"))
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 1)
}

// Guards against data that counts as fresh because the response was delayed:
// its age must count from the time at which the read was sent.
func TestReaderAgesFromQuestion(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Deployments, "config", []byte("1"))
	slow := &slowLog{Log: w.store, clock: w.clock, delay: 3 * time.Second}
	w.reader.log = slow
	is.NoErr(w.reader.readDeployment(ctx, 0))
	_, age := w.view.Deployment()
	is.Equal(age, 3*time.Second)
}

// slowLog delays the responses of Newest.
type slowLog struct {
	drstore.Log
	clock *drclock.Fake
	delay time.Duration
}

func (s *slowLog) Newest(ctx context.Context, t drstore.Topic, after string) (drstore.Page, error) {
	page, err := s.Log.Newest(ctx, t, after)
	s.clock.Suspend(s.delay)
	return page, err
}

// pagedLog returns one record per page, as a store does with large records.
type pagedLog struct{ *drstandin.MemoryStore }

func (l pagedLog) Read(ctx context.Context, t drstore.Topic, from int64, maxKB int, wait time.Duration) (drstore.Page, error) {
	page, err := l.MemoryStore.Read(ctx, t, from, maxKB, wait)
	if len(page.Records) > 1 {
		page.Records, page.Next = page.Records[:1], from+1
	}
	return page, err
}

// Guards against a runner table that counts as fresh although only the first
// page of the history was read. A runner that has left would come back by its
// old entries and get requests.
func TestReaderReadsToTheEnd(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.reader.log = pagedLog{w.store}
	w.store.Put(drstore.Runners, "leaves", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	w.view.RemoveRunner("leaves") // as after a reply of the controller
	w.store.Put(drstore.Runners, "leaves", []byte("1 2"))
	w.store.Put(drstore.Runners, "stays", []byte("1 1"))
	w.store.Put(drstore.Runners, "leaves", nil)
	is.NoErr(w.reader.readRunners(ctx))
	_, back := w.view.Runner("leaves")
	is.True(!back)
	_, known := w.view.Runner("stays")
	is.True(known)
}

// Guards against reading the whole history of the runners after a period in
// which the controller sent the changes.
func TestReaderSkipsOldHistory(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.reader.log = pagedLog{w.store}
	w.store.Put(drstore.Runners, "r", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	for beat := range 100 {
		w.store.Put(drstore.Runners, "r", fmt.Appendf(nil, "1 %d", beat+2))
	}
	w.clock.Advance(maxHistoryAge + time.Millisecond)
	before := w.store.Calls()
	is.NoErr(w.reader.readRunners(ctx))
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.store.Calls()-before, 2) // one page of the history, and the newest entry
	r, _ := w.view.Runner("r")
	is.Equal(r.Beat, 101)
}

// Guards against VMs that lose the controller and all read the newest entries of all runners,
// each page in its turn, so that they hear of a runner that leaves only after seconds. The
// history since the controller's table is a page at most times.
func TestReaderGoesOnFromControllersTable(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	putRunners(w.store, 3)
	page, err := w.store.Newest(ctx, drstore.Runners, "")
	is.NoErr(err)
	for i := range 3 {
		w.view.OfferRunner(&drfleet.Runner{ID: fmt.Sprintf("r%04d", i), Started: 1, Beat: 1}, drfleetview.FromController)
	}
	w.view.ConfirmRunners(w.clock.Uptime(), drstore.Position{Next: page.Next})
	n := &Node{Config: Config{View: w.view, Allowances: drtokenpool.NewAllowances(w.clock)}, reader: w.reader, recordedRunners: 3000}
	n.Allowances.AssumeVMs(300)
	is.Equal(n.nextReadSize(), historyReadSize)
	w.clock.Advance(time.Minute)
	w.store.Put(drstore.Runners, "r0001", nil)
	w.store.SetFault(drstandin.ErrNoAnswer, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	before := w.store.Calls()
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.store.Calls()-before, 1)
	w.clock.Advance(lapsedEntryGrace)
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 2)

	w.store.Expire(drstore.Runners)
	is.NoErr(w.reader.readRunners(ctx)) // nothing follows
	is.True(!w.reader.reading())
	w.store.Put(drstore.Runners, "r0003", []byte("1 1"))
	w.store.Expire(drstore.Runners)
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.reading())
	is.Equal(n.nextReadSize(), 2) // the known runners
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 3)
}

// readSizes is a store that notes how many bytes of values its reads of the history bring.
type readSizes struct {
	drstore.Log
	bytes int
}

func (s *readSizes) Read(ctx context.Context, t drstore.Topic, from int64, maxKB int, wait time.Duration) (drstore.Page, error) {
	page, err := s.Log.Read(ctx, t, from, maxKB, wait)
	for _, rec := range page.Records {
		s.bytes += len(rec.Value)
	}
	return page, err
}

// Guards against VMs that lose the controller after all entries have expired in an outage of
// the store and that together take its time for many seconds, because each reads a larger part
// of the history than all entries take.
func TestLongHistoryIsNotReadInShortTurn(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	sizes := &readSizes{Log: w.store}
	w.reader.log = sizes
	putRunners(w.store, 1)
	is.NoErr(w.reader.readRunners(ctx))
	w.clock.Advance(time.Minute)
	for i := range 7400 {
		w.store.Put(drstore.Runners, fmt.Sprintf("r%04d", i%3700), fmt.Appendf(nil, "1 %d %0200d", i, 0))
	}
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.reading())
	is.True(sizes.bytes <= 512<<10)
	is.True(sizes.bytes > 256<<10)
}

// Guards against a large table that is never read because each read is cut off after the
// time that a small one takes, and begun anew.
func TestReadersPatienceGrows(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	is.Equal(w.reader.runnersTimeout(), readTimeout)
	w.store.SetFault(drstandin.ErrNoAnswer, false)
	for range 10 {
		is.True(w.reader.readRunners(ctx) != nil)
	}
	is.Equal(w.reader.runnersTimeout(), readTimeout+maxReadPatience)
	w.store.SetFault(nil, false)
	for i := range 3000 {
		w.store.Put(drstore.Runners, fmt.Sprint("r", i), []byte("1 1"))
	}
	is.NoErr(w.reader.readRunners(ctx))
	for w.reader.reading() {
		is.NoErr(w.reader.readRunners(ctx))
	}
	is.Equal(w.reader.runnersTimeout(), readTimeout+3000*entryTimeout)
}

// Guards against a reader that reads all entries each time because one read takes longer
// than the history is trusted, which takes longer still.
func TestSlowReaderKeepsToHistory(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.store.Put(drstore.Runners, "r", []byte("1 1"))
	newest := &slowLog{Log: w.store, clock: w.clock, delay: 1500 * time.Millisecond}
	w.reader.log = newest
	is.NoErr(w.reader.readRunners(ctx))
	w.store.Put(drstore.Runners, "r", []byte("1 2"))
	newest.delay = time.Hour // of a read of all entries
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.reader.runnersTook, time.Duration(0))
	r, _ := w.view.Runner("r")
	is.Equal(r.Beat, 2)
}
