package drplacement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Waker has models loaded for entry VMs. None of its calls runs a request, so
// all its errors have the verdict NotRun.
type Waker struct {
	p        *Place
	baseline *loadOnMiss
	mu       sync.Mutex
	flights  map[key]*flight
	demanded map[string]time.Time
	stopped  bool
	ctx      context.Context // ends with the waker
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

func newWaker(p *Place) *Waker {
	w := &Waker{p: p, baseline: &loadOnMiss{p: p}, flights: make(map[key]*flight), demanded: make(map[string]time.Time)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// stop ends all flights and waits for them.
func (w *Waker) stop() {
	w.cancel()
	w.mu.Lock()
	w.stopped = true
	for _, f := range w.flights {
		f.done, f.err = true, stopped()
		f.signal()
	}
	w.mu.Unlock()
	w.work.Wait()
}

func stopped() error {
	return drerror.New(drerror.NotRun, drerror.Draining, "this VM is shutting down")
}

func jitter(limit time.Duration) time.Duration { return rand.N(limit) }

// Wake returns a runner on which the model, or the adapter on it, is loaded. It
// refuses as soon as the expected wait exceeds the deadline, with the expected
// wait as RetryAfter; the load goes on, so that a later attempt succeeds.
// Reasons: UnknownModel, NoCapacity, LogUnavailable, Deadline, CallerGone.
func (w *Waker) Wake(ctx context.Context, model, adapter string, deadline time.Time) (Location, error) {
	ky := key{model, adapter}
	if err := w.declared(ky); err != nil {
		return Location{}, err
	}
	if w.p.Policy == LoadOnMiss {
		return w.baseline.wake(ctx, ky, deadline)
	}
	timer := w.p.Clock.NewTimer(deadline.Sub(w.p.Clock.Now()))
	defer timer.Stop()
	f, err := w.join(ky)
	if err != nil {
		return Location{}, err
	}
	defer w.leave(ky, f)
	for {
		w.mu.Lock()
		s := *f
		w.mu.Unlock()
		now := w.p.Clock.Now()
		switch {
		case s.done:
			return s.location, s.err
		case s.known && s.ready.After(deadline), !now.Before(deadline):
			return Location{}, late(ky, s, now)
		}
		select {
		case <-s.progress:
		case <-timer.C():
		case <-ctx.Done():
			return Location{}, drerror.Wrap(drerror.NotRun, drerror.CallerGone, ctx.Err(), "wait for load")
		}
	}
}

// late is the refusal of a wake-up that cannot meet its deadline.
func late(ky key, s flight, now time.Time) error {
	reason := drerror.Deadline
	if s.err != nil {
		reason = drerror.ReasonOf(s.err)
	}
	e := drerror.New(drerror.NotRun, reason, "model %q adapter %q cannot be loaded before the deadline", ky.model, ky.adapter)
	if wait := s.ready.Sub(now); s.known && wait > 0 {
		return e.WithRetryAfter(wait)
	}
	return e
}

func (w *Waker) declared(ky key) error {
	_, ok := w.p.Catalogue.Model(ky.model)
	if ok && ky.adapter != "" {
		a, found := w.p.Catalogue.Adapter(ky.adapter)
		ok = found && a.Base == ky.model
	}
	if !ok {
		return drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q adapter %q is not declared", ky.model, ky.adapter)
	}
	return nil
}

// join joins the flight of ky or starts one.
func (w *Waker) join(ky key) (*flight, error) {
	w.p.residency.touch(ky.model)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, stopped()
	}
	f := w.flights[ky]
	if f == nil || f.done {
		f = &flight{progress: make(chan struct{})}
		var ctx context.Context
		ctx, f.cancel = context.WithCancel(w.ctx)
		w.flights[ky] = f
		w.work.Go(func() { w.fly(ctx, ky, f) })
	}
	f.waiters++
	return f, nil
}

func (w *Waker) leave(ky key, f *flight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.waiters--; f.waiters > 0 {
		return
	}
	f.cancel()
	if w.flights[ky] == f {
		delete(w.flights, ky)
	}
}

func (w *Waker) finish(f *flight, l Location, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.done {
		return
	}
	f.done, f.location, f.err = true, l, err
	f.signal()
}

// expect tells the waiters of a flight when its load is expected to end.
func (w *Waker) expect(f *flight, wait time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.ready, f.known, f.err = w.p.Clock.Now().Add(wait), wait > 0, err
	f.signal()
}

// fly wakes ky until it is loaded or refused for a reason that waiting does not
// change. The waiters end it at their deadlines.
func (w *Waker) fly(ctx context.Context, ky key, f *flight) {
	var hold time.Duration
	for ctx.Err() == nil {
		rights := w.order(ky)
		if hold == 0 {
			w.wakeMinimum(ky, rights)
		}
		l, wait, from, err := w.tryRights(ctx, ky, rights, hold)
		if err == nil && l.Runner != "" {
			w.p.residency.learn(l, ky)
			w.finish(f, l, nil)
			return
		}
		if err == nil && len(rights) > 0 {
			w.expect(f, wait, nil)
			hold = wakeHold
			continue
		}
		if final := w.recover(ctx, ky, f, rights, from, err); final != nil {
			w.finish(f, Location{}, final)
			return
		}
	}
}

// recover reacts when no right could be used: it asks for another right, or
// waits for room, a new owner or a released right. It returns an error if
// waiting is pointless.
func (w *Waker) recover(ctx context.Context, ky key, f *flight, rights []Right, from string, err error) error {
	reason := drerror.ReasonOf(err)
	if reason == drerror.UnknownModel {
		return err
	}
	var e *drerror.Error
	crowded := asVerdict(err, &e) && reason == drerror.NoCapacity && e.RetryAfter > 0
	if w.p.logDown() && err != nil && !crowded {
		// No ownership and no right can change until the log returns.
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "wake while the log is down")
	}
	if len(rights) == 0 || reason == drerror.NoCapacity {
		demand := w.p.callDemand(ctx, &drpb.PlacementDemand{Model: ky.model, Have: uint32(len(rights)), Contended: from})
		switch {
		case demand == nil:
			w.awaitRight(ctx, ky.model, len(rights))
			return nil
		case drerror.ReasonOf(demand) == drerror.UnknownModel:
			return demand
		case w.p.logDown() && !crowded:
			return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, demand, "wake while the log is down")
		case len(rights) == 0 && drerror.ReasonOf(demand) == drerror.NoCapacity && len(w.p.Ledger.Rights(ky.model)) == 0:
			return demand
		}
	}
	wait := retryPause
	if crowded {
		w.expect(f, e.RetryAfter, err)
		wait = e.RetryAfter / 4
	}
	_ = w.p.Clock.Sleep(ctx, wait)
	return nil
}

// awaitRight waits a moment until a right that was granted shows here.
func (w *Waker) awaitRight(ctx context.Context, model string, have int) {
	t := w.p.Clock.NewTimer(retryPause)
	defer t.Stop()
	for {
		changed := w.p.Ledger.Changed()
		if len(w.p.usable(model)) > have {
			return
		}
		select {
		case <-changed:
		case <-t.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

// order returns the usable rights, those with the model loaded first, then the
// oldest: all VMs wake a cold model on the same runner.
func (w *Waker) order(ky key) []Right {
	var loaded, others []Right
	warm := make(map[string]bool)
	for _, s := range w.p.residency.Loaded(ky.model, ky.adapter) {
		warm[s.Runner] = true
	}
	for _, r := range w.p.usable(ky.model) {
		if warm[r.Runner] {
			loaded = append(loaded, r)
		} else {
			others = append(others, r)
		}
	}
	return append(loaded, others...)
}

// wakeMinimum wakes the model on the other runners that make up its minimum,
// beyond the end of the flight.
func (w *Waker) wakeMinimum(ky key, rights []Right) {
	m, _ := w.p.Catalogue.Model(ky.model)
	for i := 1; i < min(m.Min, len(rights)); i++ {
		w.work.Go(func() { w.wakeOther(ky, rights[i].Runner) })
	}
}

// wakeOther makes some attempts to wake ky on a runner.
func (w *Waker) wakeOther(ky key, runner string) {
	for range 5 {
		_, err := w.p.callWake(w.ctx, &drpb.PlacementWake{Runner: runner, Model: ky.model, Adapter: ky.adapter})
		if err == nil || w.p.Clock.Sleep(w.ctx, tick) != nil {
			return
		}
	}
}

// tryRights wakes ky under the first right whose owner does not refuse. from is
// the runner that refused for lack of room.
func (w *Waker) tryRights(ctx context.Context, ky key, rights []Right, hold time.Duration) (l Location, wait time.Duration, from string, err error) {
	for _, r := range rights {
		reply, e := w.p.callWake(ctx, &drpb.PlacementWake{
			Runner: r.Runner, Model: ky.model, Adapter: ky.adapter, HoldMs: uint64(hold.Milliseconds()), Grant: r.Grant,
		})
		if e != nil {
			if drerror.ReasonOf(e) == drerror.NoCapacity {
				from = r.Runner
			}
			err = e
			continue
		}
		if reply.Loaded {
			b, _ := w.p.backend(r.Runner)
			return Location{Runner: r.Runner, Address: b.Address, Fence: reply.Fence}, 0, "", nil
		}
		return Location{}, time.Duration(reply.EstimateMs) * time.Millisecond, "", nil
	}
	return Location{}, 0, from, err
}

// Demand asks for one more replica of a model whose loaded replicas are busy:
// an unused right is woken, else the home is asked for another right. It does
// nothing if called again within a second.
func (w *Waker) Demand(ctx context.Context, model string) error {
	now := w.p.Clock.Now()
	w.mu.Lock()
	recent := now.Sub(w.demanded[model]) < tick
	if !recent {
		w.demanded[model] = now
	}
	w.mu.Unlock()
	if recent || w.p.Policy == LoadOnMiss {
		return nil
	}
	warm := make(map[string]bool)
	for _, s := range w.p.residency.Loaded(model, "") {
		warm[s.Runner] = true
	}
	rights := w.p.usable(model)
	for _, r := range rights {
		if !warm[r.Runner] {
			_, err := w.p.callWake(ctx, &drpb.PlacementWake{Runner: r.Runner, Model: model})
			return err
		}
	}
	return w.p.callDemand(ctx, &drpb.PlacementDemand{Model: model, Have: uint32(len(rights))})
}
