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
	placement    *Placement
	baseline     *loadOnMiss
	mu           sync.Mutex
	sharedWakes  map[modelKey]*sharedWake
	lastDemandAt map[string]time.Time
	stopped      bool
	ctx          context.Context // ends with the waker
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
}

func newWaker(placement *Placement) *Waker {
	w := &Waker{placement: placement, baseline: &loadOnMiss{placement: placement}, sharedWakes: make(map[modelKey]*sharedWake), lastDemandAt: make(map[string]time.Time)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// stop ends all flights and waits for them.
func (w *Waker) stop() {
	w.cancel()
	w.mu.Lock()
	w.stopped = true
	for _, shared := range w.sharedWakes {
		shared.done, shared.err = true, stoppedError()
		shared.signalProgress()
	}
	w.mu.Unlock()
	w.goroutines.Wait()
}

func stoppedError() error {
	return drerror.New(drerror.NotRun, drerror.Draining, "this VM is shutting down")
}

func jitter(limit time.Duration) time.Duration { return rand.N(limit) }

// Wake returns a runner on which the model, or the adapter on it, is loaded. It
// refuses as soon as the expected wait exceeds the deadline, with the expected
// wait as RetryAfter; the load goes on, so that a later attempt succeeds.
// Reasons: UnknownModel, NoCapacity, LogUnavailable, Deadline, CallerGone.
func (w *Waker) Wake(ctx context.Context, model, adapter string, deadline time.Time) (Location, error) {
	key := modelKey{model, adapter}
	if err := w.checkDeclared(key); err != nil {
		return Location{}, err
	}
	if w.placement.Policy == LoadOnMiss {
		return w.baseline.wake(ctx, key, deadline)
	}
	timer := w.placement.Clock.NewTimer(deadline.Sub(w.placement.Clock.Now()))
	defer timer.Stop()
	shared, err := w.join(key)
	if err != nil {
		return Location{}, err
	}
	defer w.leave(key, shared)
	for {
		w.mu.Lock()
		s := *shared
		w.mu.Unlock()
		now := w.placement.Clock.Now()
		switch {
		case s.done:
			return s.location, s.err
		case s.readyKnown && s.expectedReady.After(deadline), !now.Before(deadline):
			return Location{}, lateError(key, s, now)
		}
		select {
		case <-s.progress:
		case <-timer.C():
		case <-ctx.Done():
			return Location{}, drerror.Wrap(drerror.NotRun, drerror.CallerGone, ctx.Err(), "wait for load")
		}
	}
}

// lateError is the refusal of a wake-up that cannot meet its deadline.
func lateError(key modelKey, wake sharedWake, now time.Time) error {
	reason := drerror.Deadline
	if wake.err != nil {
		reason = drerror.ReasonOf(wake.err)
	}
	e := drerror.New(drerror.NotRun, reason, "model %q adapter %q cannot be loaded before the deadline", key.model, key.adapter)
	if wait := wake.expectedReady.Sub(now); wake.readyKnown && wait > 0 {
		return e.WithRetryAfter(wait)
	}
	return e
}

func (w *Waker) checkDeclared(key modelKey) error {
	_, ok := w.placement.Catalogue.Model(key.model)
	if ok && key.adapter != "" {
		a, found := w.placement.Catalogue.Adapter(key.adapter)
		ok = found && a.Base == key.model
	}
	if !ok {
		return drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q adapter %q is not declared", key.model, key.adapter)
	}
	return nil
}

// join joins the flight of ky or starts one.
func (w *Waker) join(key modelKey) (*sharedWake, error) {
	w.placement.residency.markModelUsed(key.model)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, stoppedError()
	}
	shared := w.sharedWakes[key]
	if shared == nil || shared.done {
		shared = &sharedWake{progress: make(chan struct{})}
		var ctx context.Context
		ctx, shared.cancel = context.WithCancel(w.ctx)
		w.sharedWakes[key] = shared
		w.goroutines.Go(func() { w.runWake(ctx, key, shared) })
	}
	shared.waiters++
	return shared, nil
}

func (w *Waker) leave(key modelKey, shared *sharedWake) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if shared.waiters--; shared.waiters > 0 {
		return
	}
	shared.cancel()
	if w.sharedWakes[key] == shared {
		delete(w.sharedWakes, key)
	}
}

func (w *Waker) finishWake(shared *sharedWake, location Location, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if shared.done {
		return
	}
	shared.done, shared.location, shared.err = true, location, err
	shared.signalProgress()
}

// setExpectedReady tells the waiters of a flight when its load is expected to end.
func (w *Waker) setExpectedReady(shared *sharedWake, wait time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shared.expectedReady, shared.readyKnown, shared.err = w.placement.Clock.Now().Add(wait), wait > 0, err
	shared.signalProgress()
}

// runWake wakes ky until it is loaded or refused for a reason that waiting does not
// change. The waiters end it at their deadlines.
func (w *Waker) runWake(ctx context.Context, key modelKey, shared *sharedWake) {
	var hold time.Duration
	for ctx.Err() == nil {
		rights := w.orderRights(key)
		if hold == 0 {
			w.wakeMinimum(key, rights)
		}
		l, wait, fullRunner, err := w.tryRights(ctx, key, rights, hold)
		if err == nil && l.Runner != "" {
			w.placement.residency.addReplica(l, key)
			w.finishWake(shared, l, nil)
			return
		}
		if err == nil && len(rights) > 0 {
			w.setExpectedReady(shared, wait, nil)
			hold = wakeHold
			continue
		}
		if final := w.handleRefusal(ctx, key, shared, rights, fullRunner, err); final != nil {
			w.finishWake(shared, Location{}, final)
			return
		}
	}
}

// handleRefusal reacts when no right could be used: it asks for another right, or
// waits for room, a new owner or a released right. It returns an error if
// waiting is pointless.
func (w *Waker) handleRefusal(ctx context.Context, key modelKey, shared *sharedWake, rights []Right, fullRunner string, err error) error {
	reason := drerror.ReasonOf(err)
	if reason == drerror.UnknownModel {
		return err
	}
	var e *drerror.Error
	evictionPending := asError(err, &e) && reason == drerror.NoCapacity && e.RetryAfter > 0
	if w.placement.logDown() && err != nil && !evictionPending {
		// No ownership and no right can change until the log returns.
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "wake while the log is down")
	}
	if len(rights) == 0 || reason == drerror.NoCapacity {
		demand := w.placement.callDemand(ctx, &drpb.PlacementDemand{Model: key.model, Have: uint32(len(rights)), Contended: fullRunner})
		switch {
		case demand == nil:
			w.awaitRight(ctx, key.model, len(rights))
			return nil
		case drerror.ReasonOf(demand) == drerror.UnknownModel:
			return demand
		case w.placement.logDown() && !evictionPending:
			return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, demand, "wake while the log is down")
		case len(rights) == 0 && drerror.ReasonOf(demand) == drerror.NoCapacity && len(w.placement.Ledger.Rights(key.model)) == 0:
			return demand
		}
	}
	wait := retryPause
	if evictionPending {
		w.setExpectedReady(shared, e.RetryAfter, err)
		wait = e.RetryAfter / 4
	}
	_ = w.placement.Clock.Sleep(ctx, wait)
	return nil
}

// awaitRight waits a moment until a right that was granted shows here.
func (w *Waker) awaitRight(ctx context.Context, model string, have int) {
	t := w.placement.Clock.NewTimer(retryPause)
	defer t.Stop()
	for {
		changed := w.placement.Ledger.Changed()
		if len(w.placement.usableRights(model)) > have {
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

// orderRights returns the usable rights, those with the model loaded first, then the
// oldest: all VMs wake a cold model on the same runner.
func (w *Waker) orderRights(key modelKey) []Right {
	var loaded, others []Right
	warm := make(map[string]bool)
	for _, s := range w.placement.residency.Loaded(key.model, key.adapter) {
		warm[s.Runner] = true
	}
	for _, r := range w.placement.usableRights(key.model) {
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
func (w *Waker) wakeMinimum(key modelKey, rights []Right) {
	m, _ := w.placement.Catalogue.Model(key.model)
	for i := 1; i < min(m.Min, len(rights)); i++ {
		w.goroutines.Go(func() { w.wakeOther(key, rights[i].Runner) })
	}
}

// wakeOther makes some attempts to wake ky on a runner.
func (w *Waker) wakeOther(key modelKey, runner string) {
	for range 5 {
		_, err := w.placement.callWake(w.ctx, &drpb.PlacementWake{Runner: runner, Model: key.model, Adapter: key.adapter})
		if err == nil || w.placement.Clock.Sleep(w.ctx, tick) != nil {
			return
		}
	}
}

// tryRights wakes ky under the first right whose owner does not refuse. from is
// the runner that refused for lack of room.
func (w *Waker) tryRights(ctx context.Context, key modelKey, rights []Right, hold time.Duration) (location Location, wait time.Duration, fullRunner string, err error) {
	for _, r := range rights {
		reply, e := w.placement.callWake(ctx, &drpb.PlacementWake{
			Runner: r.Runner, Model: key.model, Adapter: key.adapter, HoldMs: uint64(hold.Milliseconds()), Grant: r.Grant,
		})
		if e != nil {
			if drerror.ReasonOf(e) == drerror.NoCapacity {
				fullRunner = r.Runner
			}
			err = e
			continue
		}
		if reply.Loaded {
			b, _ := w.placement.backend(r.Runner)
			return Location{Runner: r.Runner, Address: b.Address, Fence: reply.Fence}, 0, "", nil
		}
		return Location{}, time.Duration(reply.EstimateMs) * time.Millisecond, "", nil
	}
	return Location{}, 0, fullRunner, err
}

// Demand asks for one more replica of a model whose loaded replicas are busy:
// an unused right is woken, else the home is asked for another right. It does
// nothing if called again within a second.
func (w *Waker) Demand(ctx context.Context, model string) error {
	now := w.placement.Clock.Now()
	w.mu.Lock()
	recent := now.Sub(w.lastDemandAt[model]) < tick
	if !recent {
		w.lastDemandAt[model] = now
	}
	w.mu.Unlock()
	if recent || w.placement.Policy == LoadOnMiss {
		return nil
	}
	warm := make(map[string]bool)
	for _, s := range w.placement.residency.Loaded(model, "") {
		warm[s.Runner] = true
	}
	rights := w.placement.usableRights(model)
	for _, r := range rights {
		if !warm[r.Runner] {
			_, err := w.placement.callWake(ctx, &drpb.PlacementWake{Runner: r.Runner, Model: model})
			return err
		}
	}
	return w.placement.callDemand(ctx, &drpb.PlacementDemand{Model: model, Have: uint32(len(rights))})
}
