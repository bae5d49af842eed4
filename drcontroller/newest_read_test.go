package drcontroller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstandin"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// putRunners writes the entries of the runners r0000, r0001 and so on.
func putRunners(store *drstandin.MemoryStore, n int) {
	for i := range n {
		store.Put(drstore.Runners, fmt.Sprintf("r%04d", i), []byte("1 1"))
	}
}

// Guards against a large table that is never read: each failed page made the read begin
// anew, and 300 VMs that did so together took all of the store's time for reads.
func TestReadGoesOnAfterFailedPage(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	putRunners(w.store, 2*drstore.NewestPageRecords+1)
	before := w.store.Calls()
	for page := range 3 {
		is.True(!w.view.RunnersKnown())
		w.store.SetFault(drstandin.ErrNoAnswer, false)
		is.True(w.reader.readRunners(ctx) != nil)
		w.store.SetFault(nil, false)
		is.NoErr(w.reader.readRunners(ctx))
		is.Equal(w.reader.reading(), page < 2)
	}
	is.Equal(w.store.Calls()-before, 6)
	is.True(w.view.RunnersKnown())
	is.Equal(w.runners(), 2*drstore.NewestPageRecords+1)
	w.store.Put(drstore.Runners, "r0000", []byte("1 2"))
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.store.Calls()-before, 7) // of the history
	r, _ := w.view.Runner("r0000")
	is.Equal(r.Beat, 2)
}

// Guards against a runner that the controller has named during a long read and that is
// dropped at its end, because its entry is on a page that was read before.
func TestRunnerThatComesDuringReadStays(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	putRunners(w.store, drstore.NewestPageRecords+1)
	w.view.OfferRunner(&drfleet.Runner{ID: "left"}, drfleetview.FromController)
	is.NoErr(w.reader.readRunners(ctx))
	w.view.OfferRunner(&drfleet.Runner{ID: "came"}, drfleetview.FromController)
	is.NoErr(w.reader.readRunners(ctx))
	_, left := w.view.Runner("left")
	is.True(!left)
	_, came := w.view.Runner("came")
	is.True(came)
}

// Guards against pages of which the first is so old that the history since then may have
// expired, and against runners that count as confirmed later than that.
func TestPausedReadBeginsAnew(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	putRunners(w.store, drstore.NewestPageRecords+1)
	is.NoErr(w.reader.readRunners(ctx))
	w.clock.Advance(maxReadPause + time.Millisecond)
	is.NoErr(w.reader.readRunners(ctx))
	is.True(w.reader.reading())
	w.clock.Advance(time.Second)
	is.NoErr(w.reader.readRunners(ctx))
	is.True(!w.reader.reading())
	_, age, _ := w.view.Ages()
	is.Equal(age, time.Second)
}
