package drcontroller

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// smallPages is a store whose pages have few records, and of which each call fails with a
// probability.
type smallPages struct {
	*drstandin.MemoryStore
	size    int
	failing func() bool
}

func (s *smallPages) Newest(ctx context.Context, t drstore.Topic, after string) (drstore.Page, error) {
	page, err := s.MemoryStore.Newest(ctx, t, after)
	if err == nil && s.failing() {
		err = drstandin.ErrNoAnswer
	}
	if len(page.Records) > s.size {
		page.Records = page.Records[:s.size]
		page.After = page.Records[s.size-1].Key
	}
	return page, err
}

func (s *smallPages) Read(ctx context.Context, t drstore.Topic, from int64, maxKB int, wait time.Duration) (drstore.Page, error) {
	page, err := s.MemoryStore.Read(ctx, t, from, maxKB, wait)
	if err == nil && s.failing() {
		err = drstandin.ErrNoAnswer
	}
	if len(page.Records) > s.size {
		page.Records, page.Next = page.Records[:s.size], from+int64(s.size)
	}
	return page, err
}

// withPages makes the fixture's store return pages of a size and returns it.
func (w *readerFixture) withPages(size int) *smallPages {
	pages := &smallPages{w.store, size, func() bool { return false }}
	w.reader.log = pages
	return pages
}

// failSecond makes the second of the next calls fail.
func (s *smallPages) failSecond() {
	calls := 0
	s.failing = func() bool { calls++; return calls == 2 }
}

// Guards against a runner that has left and stays for ever, because the page of the history
// with its leaving was read before one that failed.
func TestFailedPageOfHistoryLosesNothing(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	pages := w.withPages(2)
	w.store.Put(drstore.Runners, "leaves", []byte("1 1"))
	is.NoErr(w.reader.readRunners(ctx))
	w.store.Put(drstore.Runners, "leaves", nil)
	putRunners(w.store, 3)
	pages.failSecond()
	is.True(w.reader.readRunners(ctx) != nil)
	for range 30 {
		w.clock.Advance(100 * time.Millisecond)
		is.NoErr(w.reader.readRunners(ctx))
	}
	_, known := w.view.Runner("leaves")
	is.True(!known)
	is.Equal(w.runners(), 3)
}

// lapseEntries makes the entries of two runners expire in an outage of the store and reads
// the first page after it, on which they are missing. The runners write again after that.
func (w *readerFixture) lapseEntries(is *is.I) {
	ctx := context.Background()
	putRunners(w.store, 6)
	for w.reader.readRunners(ctx) == nil && w.reader.reading() {
	}
	w.clock.Advance(5 * time.Second)
	w.store.SetFault(drstore.ErrRefused, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	w.store.Put(drstore.Runners, "r0000", nil)
	w.store.Put(drstore.Runners, "r0001", nil)
	w.store.Put(drstore.Runners, "r0002", []byte("1 2"))
	is.NoErr(w.reader.readRunners(ctx)) // the history is too long
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.reading())
	w.store.Put(drstore.Runners, "r0000", []byte("1 2"))
	w.store.Put(drstore.Runners, "r0001", []byte("1 2"))
}

// Guards against living runners that a slow read drops, because their entries expired in an
// outage, their page was read before they wrote again, and the last page came much later.
func TestSlowReadKeepsRunnersThatLapsed(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.withPages(2)
	w.lapseEntries(is)
	for w.reader.reading() {
		w.clock.Advance(3 * time.Second) // a turn
		is.NoErr(w.reader.readRunners(ctx))
	}
	is.Equal(w.runners(), 6)
}

// Guards against living runners that are dropped when their time to write again is over,
// though the page with their new entries has not been read.
func TestLapsedRunnersAwaitTheirPage(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.withPages(2)
	putRunners(w.store, 6)
	for range 3 {
		is.NoErr(w.reader.readRunners(ctx))
	}
	w.clock.Advance(5 * time.Second)
	w.store.Put(drstore.Runners, "r0005", nil) // expired
	putRunners(w.store, 2)                     // the history is too long
	for range 3 {
		is.NoErr(w.reader.readRunners(ctx))
		is.True(w.reader.reading())
	}
	w.store.SetFault(drstore.ErrRefused, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	is.NoErr(w.reader.readRunners(ctx))
	is.True(!w.reader.reading())
	is.Equal(w.runners(), 6) // r0005 may have lapsed
	w.store.Put(drstore.Runners, "r0005", []byte("1 2"))
	for range 3 {
		w.clock.Advance(4 * time.Second)
		is.NoErr(w.reader.readRunners(ctx))
		is.Equal(w.runners(), 6)
	}
}

// Guards against a runner that a controller has named and that the end of a read drops,
// because the page on which it was missing is older than the controller's answer.
func TestReadBeforeControllersAnswerDropsNothing(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.withPages(2)
	putRunners(w.store, 4)
	w.view.OfferRunner(&drfleet.Runner{ID: "a", Started: 1}, drfleetview.FromController)
	is.NoErr(w.reader.readRunners(ctx)) // "a" is missing
	w.clock.Advance(time.Second)
	w.store.Put(drstore.Runners, "a", []byte("2 1"))
	w.view.OfferRunner(&drfleet.Runner{ID: "a", Started: 2}, drfleetview.FromController)
	w.view.ConfirmRunners(w.clock.Uptime(), drstore.Position{})
	w.clock.Advance(2 * time.Second)
	for range 3 {
		is.NoErr(w.reader.readRunners(ctx))
		_, known := w.view.Runner("a")
		is.True(known)
	}
}

// Guards against a runner that has left and stays for ever, because a controller with an
// older table named it during a read and the history after that does not have its leaving.
func TestRunnerThatLeftBeforeReadGoes(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.withPages(2)
	putRunners(w.store, 4)
	w.store.Put(drstore.Runners, "left", []byte("1 1"))
	w.store.Put(drstore.Runners, "left", nil)
	is.NoErr(w.reader.readRunners(ctx))
	w.view.OfferRunner(&drfleet.Runner{ID: "left", Started: 1}, drfleetview.FromController)
	w.view.ConfirmRunners(w.clock.Uptime()-time.Second, drstore.Position{})
	for range 20 {
		w.clock.Advance(500 * time.Millisecond)
		is.NoErr(w.reader.readRunners(ctx))
	}
	is.Equal(w.runners(), 4)
}

// Guards against VMs that lose the controller and read all entries again, because it had named
// runners during their first read. Its table since then says which runners there are.
func TestLaterTableEndsDoubtAboutRunners(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.withPages(2)
	putRunners(w.store, 3)
	is.NoErr(w.reader.readRunners(ctx))
	w.view.OfferRunner(&drfleet.Runner{ID: "came", Started: 1}, drfleetview.FromController)
	is.NoErr(w.reader.readRunners(ctx))
	is.True(!w.reader.hasHistory())
	w.clock.Advance(time.Second)
	w.view.ConfirmRunners(w.clock.Uptime(), drstore.Position{Next: 3})
	is.True(w.reader.hasHistory())
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.hasHistory())
	is.Equal(w.runners(), 4)
}

// Guards against VMs without the whole table that use a runner long after it has begun to
// drain: their next page of the newest entries has a turn after several seconds.
func TestDrainsAreReadBetweenPages(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	w.reader.codec = guardedCodec{drainingCodec{}}
	pages := w.withPages(2)
	putRunners(w.store, 4)
	is.True(!w.reader.newsDue(0)) // it lists no runner
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.reading())
	w.clock.Advance(time.Second)
	for _, key := range []string{"r0003", "r0002", "r0001", "r0000"} {
		w.store.Put(drstore.Runners, key, []byte("1 2 draining"))
	}
	w.store.Put(drstore.Runners, "r0001", nil)
	is.True(!w.reader.newsDue(2 * time.Second))
	for w.reader.newsDue(time.Second) {
		is.NoErr(w.reader.readNews(ctx))
	}
	is.Equal(w.runners(), 2)
	for _, r := range w.view.Runners("") {
		is.True(r.Draining)
	}
	w.store.Expire(drstore.Runners)
	w.store.Put(drstore.Runners, "r0000", []byte("1 3"))
	w.clock.Advance(time.Second)
	pages.failSecond()
	is.NoErr(w.reader.readNews(ctx))
	is.True(w.reader.readNews(ctx) != nil)
	is.True(w.reader.reading())
	for w.reader.reading() {
		is.NoErr(w.reader.readRunners(ctx))
	}
	is.True(!w.reader.newsDue(0)) // the history is read instead
}

// drainingCodec is a textCodec of runners that drain if a third word follows.
type drainingCodec struct{ textCodec }

func (c drainingCodec) Runner(id string, value []byte) (*drfleet.Runner, error) {
	r, err := c.textCodec.Runner(id, value)
	if err == nil {
		r.Draining = strings.HasSuffix(string(value), "draining")
	}
	return r, err
}

// Guards against a fleet that reads all at once after its first pages failed together: the
// next page takes a turn, too.
func TestFailedFirstPageTakesATurn(t *testing.T) {
	is := is.New(t)
	w := newReaderFixture()
	n := &Node{Config: Config{View: w.view, Allowances: drtokenpool.NewAllowances(w.clock)}, reader: w.reader, recordedRunners: 3000}
	n.Allowances.AssumeVMs(300)
	is.Equal(n.nextReadSize(), drstore.NewestPageRecords)
	w.store.SetFault(drstandin.ErrNoAnswer, false)
	is.True(w.reader.readRunners(context.Background()) != nil)
	is.Equal(n.nextReadSize(), drstore.NewestPageRecords)
}

// Guards against VMs that are late to serve after all were killed, because they take turns
// for a first read that would be over within a second anyway.
func TestSmallFirstReadTakesNoTurn(t *testing.T) {
	is := is.New(t)
	w := newReaderFixture()
	n := &Node{Config: Config{View: w.view, Allowances: drtokenpool.NewAllowances(w.clock)}, reader: w.reader, recordedRunners: 79}
	for _, vms := range []int{5, 102, 195} {
		n.Allowances.AssumeVMs(vms)
		is.Equal(n.nextReadSize(), 0)
	}
}

// Guards against a large fleet whose VMs' turns are further apart than a read may pause, so
// that it begins anew for ever.
func TestTurnsEndBeforeMaxReadPause(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{5, 300, 500, 1000} {
		for range 200 {
			var turn readTurn
			turn.come(0, vms, drstore.NewestPageRecords)
			is.True(turn.at <= maxReadPause/2) // a failed page takes a second turn
		}
	}
}

// Guards against a runner that has left and stays, or one that lives and is dropped, after
// any order of entries, pages, failures, pauses and answers of a controller.
func TestReadsFollowStoreInAnyOrder(t *testing.T) {
	for seed := range uint64(3000) {
		o := newReadOrder(seed)
		for range 60 {
			o.step()
		}
		if missing := o.settle(); missing != "" {
			t.Fatalf("seed %d: %s", seed, missing)
		}
	}
}

// readOrder is a random order of what happens to a reader. living holds the entries of the
// runners in the store.
type readOrder struct {
	*readerFixture
	rand   *rand.Rand
	living map[string]*drfleet.Runner
	starts int64
}

func newReadOrder(seed uint64) *readOrder {
	o := &readOrder{readerFixture: newReaderFixture(), rand: rand.New(rand.NewPCG(seed, 1)), living: make(map[string]*drfleet.Runner)}
	o.withPages(2).failing = func() bool { return o.rand.IntN(8) == 0 }
	return o
}

func (o *readOrder) step() {
	id := fmt.Sprint("r", o.rand.IntN(9))
	switch o.rand.IntN(8) {
	case 0, 1:
		o.write(id)
	case 2:
		delete(o.living, id)
		o.store.Put(drstore.Runners, id, nil)
	case 3:
		o.clock.Advance(time.Duration(o.rand.IntN(700)) * time.Millisecond)
	case 4:
		o.clock.Advance(time.Duration(o.rand.IntN(12000)) * time.Millisecond)
	case 5:
		o.answer()
	default:
		if o.reader.newsDue(0) && o.rand.IntN(3) == 0 {
			_ = o.reader.readNews(context.Background())
			break
		}
		_ = o.reader.readRunners(context.Background())
	}
	if o.rand.IntN(60) == 0 {
		o.store.Expire(drstore.Runners)
	}
}

// write writes a runner's next entry. It has a new start if the runner had left.
func (o *readOrder) write(id string) {
	r := &drfleet.Runner{ID: id, Service: "llm", Beat: 1}
	if old, ok := o.living[id]; ok {
		r.Started, r.Beat = old.Started, old.Beat+1
	} else {
		o.starts++
		r.Started = o.starts
	}
	o.living[id] = r
	o.store.Put(drstore.Runners, id, fmt.Appendf(nil, "%d %d", r.Started, r.Beat))
}

// answer applies a controller's table, which is that of the store.
func (o *readOrder) answer() {
	o.clock.Advance(time.Millisecond)
	ids := make(map[string]bool)
	for id, r := range o.living {
		ids[id] = true
		o.view.OfferRunner(r, drfleetview.FromController)
	}
	o.view.KeepRunners(ids, drstore.Position{})
	page, err := o.store.Newest(context.Background(), drstore.Runners, "")
	if err != nil {
		panic(err)
	}
	o.view.ConfirmRunners(o.clock.Uptime(), drstore.Position{Next: page.Next * int64(o.rand.IntN(2))}) // one of an earlier version states none
}

// settle reads on without failures until all has been read twice and no entry counts as
// lapsed. The runners write at their interval, since a view that dropped a runner by an older
// entry takes it back only with its next one. settle returns what differs from the store.
func (o *readOrder) settle() string {
	o.withPages(2)
	for i := range 40 {
		if i%5 == 0 {
			for _, id := range slices.Sorted(maps.Keys(o.living)) {
				o.write(id)
			}
		}
		o.clock.Advance(200 * time.Millisecond)
		if err := o.reader.readRunners(context.Background()); err != nil {
			return err.Error()
		}
	}
	for id, r := range o.living {
		if got, ok := o.view.Runner(id); !ok || got.Started != r.Started {
			return id + " lives and is missing or old"
		}
	}
	if n := o.runners(); n != len(o.living) {
		return fmt.Sprintf("%d runners in the view, %d in the store", n, len(o.living))
	}
	return ""
}

// Guards against VMs that start while the controller reads the table and take no turns,
// because its lease says that there are no runners.
func TestLeaseKeepsRunnersUntilTheyAreRead(t *testing.T) {
	is := is.New(t)
	w := newReaderFixture()
	c := NewController(ControllerConfig{Clock: w.clock, Metrics: drmetric.New(), Inherited: drlease.Handover{Runners: 3000}}, w.view)
	defer c.Close()
	is.Equal(c.Handover().Runners, 3000)
	putRunners(w.store, 3)
	is.NoErr(w.reader.readRunners(context.Background()))
	is.Equal(c.Handover().Runners, 3)
}

// Guards against a living runner that a VM drops, because a page of the newest entries had
// its newest one, and the history from the first page on has its leaving before that.
func TestOlderLeavingInHistoryDropsNothing(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	pages := w.withPages(2)
	putRunners(w.store, 4)
	is.NoErr(w.reader.readRunners(ctx))
	w.store.Put(drstore.Runners, "r0003", nil) // expired
	w.store.Put(drstore.Runners, "r0003", []byte("1 2"))
	is.NoErr(w.reader.readRunners(ctx))
	is.True(!w.reader.reading())
	pages.size = 100
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 4)
}
