package drcontroller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// another returns the fixture of another VM with the same store and clock.
func (w *readerFixture) another() *readerFixture {
	o := &readerFixture{store: w.store, clock: w.clock, view: drfleetview.New(w.clock)}
	o.reader = newReader(readerConfig{log: w.store, codec: guardedCodec{textCodec{}}, view: o.view, clock: w.clock, heartbeat: testHeartbeat})
	return o
}

// takeTable gives the view the table of a controller and what it states of its position, as
// its replies do.
func (w *readerFixture) takeTable(controller *drfleetview.View) {
	listed := make(map[string]bool)
	for _, r := range controller.Runners("") {
		listed[r.ID] = true
		w.view.OfferRunner(r, drfleetview.FromController)
	}
	w.view.KeepRunners(listed, drstore.Position{})
	w.view.ConfirmRunners(controller.RunnersConfirmed())
}

// Guards against a runner that is gone and stays for ever, because its controller kept it for
// a while after an outage of the store and stated a position after its leaving.
func TestRunnerThatControllerKeptGoes(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	controller := w.another()
	putRunners(w.store, 3)
	is.NoErr(controller.reader.readRunners(ctx))
	w.clock.Advance(5 * time.Second)
	w.store.SetFault(drstore.ErrRefused, false)
	is.True(controller.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	w.store.Put(drstore.Runners, "r0001", nil) // expired
	is.NoErr(controller.reader.readRunners(ctx))
	is.Equal(len(controller.view.Runners("")), 3)
	w.takeTable(controller.view) // before the controller is lost
	for range 10 {
		w.clock.Advance(time.Second)
		is.NoErr(w.reader.readRunners(ctx))
	}
	is.Equal(w.runners(), 2)
}

// Guards against living runners that a VM drops, because their entries had expired in an
// outage before a controller told that they had written them again.
func TestRunnerThatControllerNamesAgainStays(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	w := newReaderFixture()
	controller := w.another()
	putRunners(w.store, 3)
	is.NoErr(w.reader.readRunners(ctx))
	w.clock.Advance(5 * time.Second)
	w.store.SetFault(drstore.ErrRefused, false)
	is.True(w.reader.readRunners(ctx) != nil)
	w.store.SetFault(nil, false)
	w.store.Put(drstore.Runners, "r0001", nil) // expired
	is.NoErr(w.reader.readRunners(ctx))
	is.Equal(w.runners(), 3)
	w.store.Put(drstore.Runners, "r0001", []byte("1 2"))
	w.clock.Advance(time.Second)
	is.NoErr(controller.reader.readRunners(ctx))
	w.takeTable(controller.view)
	for range 10 {
		w.clock.Advance(time.Second)
		is.NoErr(w.reader.readRunners(ctx))
		is.Equal(w.runners(), 3)
	}
}

// afterRead is a store after each of whose reads something happens before the answer arrives.
type afterRead struct {
	drstore.Log
	then func()
}

func (s *afterRead) Read(ctx context.Context, t drstore.Topic, from int64, maxKB int, wait time.Duration) (drstore.Page, error) {
	defer s.then()
	return s.Log.Read(ctx, t, from, maxKB, wait)
}

func (s *afterRead) Newest(ctx context.Context, t drstore.Topic, after string) (drstore.Page, error) {
	defer s.then()
	return s.Log.Newest(ctx, t, after)
}

// Guards against living runners that a VM drops, because a controller names them again while
// an older answer of the store is on its way.
func TestAnswerOlderThanControllersDropsNothing(t *testing.T) {
	for _, known := range []bool{false, true} { // the position, so that it is an answer with the history
		is, ctx := is.New(t), context.Background()
		w := newReaderFixture()
		controller := w.another()
		putRunners(w.store, 3)
		if known {
			is.NoErr(w.reader.readRunners(ctx))
		} else {
			w.view.OfferRunner(&drfleet.Runner{ID: "r0001", Started: 1}, drfleetview.FromController)
		}
		w.store.Put(drstore.Runners, "r0001", nil)
		w.reader.log = &afterRead{w.store, func() {
			w.clock.Advance(time.Millisecond)
			w.store.Put(drstore.Runners, "r0001", []byte("2 1"))
			is.NoErr(controller.reader.readRunners(ctx))
			w.takeTable(controller.view)
		}}
		is.NoErr(w.reader.readRunners(ctx))
		is.Equal(w.runners(), 3)
	}
}
