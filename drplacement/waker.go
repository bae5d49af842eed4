package drplacement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Waker has models loaded for requests on this entry VM. None of its calls runs
// a request, so all its errors have the verdict NotRun. It is safe for
// concurrent use.
type Waker struct {
	placement    *Placement
	baseline     *loadOnMiss
	mu           sync.Mutex
	sharedWakes  map[modelKey]*sharedWake
	lastDemandAt map[string]time.Time // by model
	stopped      bool
	ctx          context.Context // ends when the Waker is stopped
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
}

func newWaker(placement *Placement) *Waker {
	w := &Waker{placement: placement, baseline: &loadOnMiss{placement: placement}, sharedWakes: make(map[modelKey]*sharedWake), lastDemandAt: make(map[string]time.Time)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// stop makes all waiting Wake calls fail and waits for the goroutines of the
// Waker.
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

// jitter returns a random duration below limit.
func jitter(limit time.Duration) time.Duration { return rand.N(limit) }

// Wake returns a runner on which a model, or an adapter on it, is loaded, and
// has it loaded if needed. adapter is empty for the model itself. Wake fails as
// soon as the load is expected to end after deadline, with the expected wait as
// RetryAfter. The load goes on, so that a later attempt succeeds. Its errors
// have one of the reasons UnknownModel, NoCapacity, LogUnavailable, Deadline,
// CallerGone and Draining.
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
			return Location{}, drerror.Wrap(drerror.NotRun, drerror.CallerGone, ctx.Err(), "wait until the model is loaded")
		}
	}
}

// lateError returns the error of a Wake call that cannot meet its deadline. It
// has the reason for which the shared attempt has to wait, if there is one.
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

// checkDeclared returns an error if the model is not declared, or the adapter
// is not declared for this base model.
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

// join adds the caller to the shared attempt for a model or adapter, and starts
// one if none is running.
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

// leave removes a caller from a shared attempt. The last one cancels the
// attempt.
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

// finishWake ends a shared attempt with its result, unless it has ended
// already.
func (w *Waker) finishWake(shared *sharedWake, location Location, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if shared.done {
		return
	}
	shared.done, shared.location, shared.err = true, location, err
	shared.signalProgress()
}

// setExpectedReady tells the callers of a shared attempt when the load is
// expected to end, and the reason if it has to wait. A wait of 0 means that the
// end is not known.
func (w *Waker) setExpectedReady(shared *sharedWake, wait time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shared.expectedReady, shared.readyKnown, shared.err = w.placement.Clock.Now().Add(wait), wait > 0, err
	shared.signalProgress()
}

// runWake tries to have a model or adapter loaded until it succeeds or is
// refused for a reason that waiting does not change. Callers leave at their
// deadlines, and the last one ends ctx.
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

// handleRefusal decides what to do when no right could be used. It asks for
// another right, or waits for free memory, a new owner or a released right. It
// returns an error if waiting cannot help.
func (w *Waker) handleRefusal(ctx context.Context, key modelKey, shared *sharedWake, rights []Right, fullRunner string, err error) error {
	reason := drerror.ReasonOf(err)
	if reason == drerror.UnknownModel {
		return err
	}
	var e *drerror.Error
	temporarilyFull := asError(err, &e) && reason == drerror.NoCapacity && e.RetryAfter > 0
	if w.placement.logDown() && err != nil && !temporarilyFull {
		// Ownership and rights cannot change until the log is back.
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "load a model while the log is down")
	}
	if len(rights) == 0 || reason == drerror.NoCapacity {
		demand := w.placement.callDemand(ctx, &drpb.PlacementDemand{Model: key.model, Have: uint32(len(rights)), Contended: fullRunner})
		switch {
		case demand == nil:
			w.awaitRight(ctx, key.model, len(rights))
			return nil
		case drerror.ReasonOf(demand) == drerror.UnknownModel:
			return demand
		case w.placement.logDown() && !temporarilyFull:
			return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, demand, "load a model while the log is down")
		case len(rights) == 0 && drerror.ReasonOf(demand) == drerror.NoCapacity && len(w.placement.Ledger.Rights(key.model)) == 0:
			return demand
		}
	}
	wait := retryPause
	if temporarilyFull {
		w.setExpectedReady(shared, e.RetryAfter, err)
		wait = e.RetryAfter / 4
	}
	_ = w.placement.Clock.Sleep(ctx, wait)
	return nil
}

// awaitRight waits up to retryPause until a newly granted right shows in the
// ledger of this VM.
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

// orderRights returns the usable rights to a model. Those with the model loaded
// come first, then the oldest, so that all VMs wake a model that is not loaded
// on the same runner.
func (w *Waker) orderRights(key modelKey) []Right {
	var loaded, others []Right
	loadedOn := make(map[string]bool)
	for _, s := range w.placement.residency.Loaded(key.model, key.adapter) {
		loadedOn[s.Runner] = true
	}
	for _, r := range w.placement.usableRights(key.model) {
		if loadedOn[r.Runner] {
			loaded = append(loaded, r)
		} else {
			others = append(others, r)
		}
	}
	return append(loaded, others...)
}

// wakeMinimum wakes the model on the other runners that make up its minimum
// number of replicas. These wake-ups go on after the shared attempt has ended.
func (w *Waker) wakeMinimum(key modelKey, rights []Right) {
	m, _ := w.placement.Catalogue.Model(key.model)
	for i := 1; i < min(m.Min, len(rights)); i++ {
		w.goroutines.Go(func() { w.wakeOther(key, rights[i].Runner) })
	}
}

// wakeOther wakes a model or adapter on a runner and makes up to 5 attempts.
func (w *Waker) wakeOther(key modelKey, runner string) {
	for range 5 {
		_, err := w.placement.callWake(w.ctx, &drpb.PlacementWake{Runner: runner, Model: key.model, Adapter: key.adapter})
		if err == nil || w.placement.Clock.Sleep(w.ctx, tick) != nil {
			return
		}
	}
}

// tryRights wakes a model or adapter under the first right whose owner does not
// refuse. wait is the expected wait for the load. If all refuse, err is the
// last refusal and fullRunner the last runner that lacked memory.
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

// Demand asks for one more replica of a model whose loaded replicas are busy.
// If a usable right has no loaded replica, the model is woken there, else its
// home VM is asked for another right. A second call for the same model within a
// second does nothing.
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
	loadedOn := make(map[string]bool)
	for _, s := range w.placement.residency.Loaded(model, "") {
		loadedOn[s.Runner] = true
	}
	rights := w.placement.usableRights(model)
	for _, r := range rights {
		if !loadedOn[r.Runner] {
			_, err := w.placement.callWake(ctx, &drpb.PlacementWake{Runner: r.Runner, Model: model})
			return err
		}
	}
	return w.placement.callDemand(ctx, &drpb.PlacementDemand{Model: model, Have: uint32(len(rights))})
}
