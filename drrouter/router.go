// Package drrouter chooses backend servers for requests and handles their
// failures. It retries requests as far as the verdict of the failure and the
// retry budget allow, resumes token streams, ejects failing servers, and blocks
// requests that crash servers.
package drrouter

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// The weights of the score are in units of one waiting request. A fully
	// cached prompt saves about two average prefills, and a hop to another zone
	// costs far less than one prefill.
	prefixWeight = 2.0
	zoneWeight   = 0.25
	// runningWeight makes the runner with the emptier batch preferred among
	// runners without waiting requests.
	runningWeight = 0.5

	// slotRecheckInterval is how often a request that waits for a dispatch slot
	// looks at the runners again. Nothing signals that a model was loaded or
	// evicted, so this bounds how long such a change goes unnoticed.
	slotRecheckInterval = 50 * time.Millisecond
	// failedRecheckInterval is the time between probes of an engine that failed
	// and is the only one with the model. Every request that was running on it
	// probes.
	failedRecheckInterval = 200 * time.Millisecond
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 6
	// probeTimeout bounds the calls to an engine that check its state, resume a
	// stream or cancel a generation.
	probeTimeout = time.Second
	// stallCheckInterval is how long a stream may deliver nothing before its
	// engine is probed, and the time between probes. maxFailedProbes failed
	// probes in a row end the stream. They are needed because a reclaimed VM
	// closes no connection: reading from it would block until the deadline of
	// the request.
	stallCheckInterval = 2 * time.Second
	maxFailedProbes    = 2
	// cachePollTimeout is how long an engine may hold back its answer to a poll
	// for cache events while there are none. cacheRetryDelay is the pause after
	// a failed poll.
	cachePollTimeout = 2 * time.Second
	cacheRetryDelay  = time.Second
)

// Config configures a Router. Clock, Residency, Engines, Waker, Suspects and
// Recorder must be set.
type Config struct {
	Clock drclock.Clock
	// Zone is the availability zone of this entry VM. Runners in it are
	// preferred.
	Zone      string
	Policy    Policy
	Residency Residency
	Engines   Engines
	Waker     Waker
	Suspects  *Suspects
	Recorder  drtimeline.Recorder
	// VMs returns the number of entry VMs that send to the same runners. Nil
	// means that this is the only one.
	VMs func() int
}

// Router runs generations on engines. It is safe for concurrent use.
type Router struct {
	Config
	ejector  *Ejector
	budget   *drbalancer.Budget
	windows  *windows
	prefixes *prefixes
}

// New returns a Router with a full retry budget that knows no prefix caches;
// see FollowCache.
func New(config Config) *Router {
	return &Router{
		Config: config, ejector: NewEjector(config.Clock), budget: newBudget(config.Clock),
		windows: newWindows(config.VMs), prefixes: newPrefixes(),
	}
}

// FollowCache keeps the copy of the prefix cache of the engine at address up to
// date until ctx ends, and then drops it. Callers run it in one goroutine per
// engine.
func (r *Router) FollowCache(ctx context.Context, address string) {
	defer r.prefixes.drop(address)
	var after uint64
	for ctx.Err() == nil {
		events, err := r.Engines.Engine(address).CacheEvents(ctx, after, cachePollTimeout)
		if err != nil {
			r.prefixes.drop(address)
			after = 0
			_ = r.Clock.Sleep(ctx, cacheRetryDelay)
			continue
		}
		if len(events) > 0 {
			after = events[len(events)-1].Seq
			r.prefixes.apply(address, events)
		}
	}
}

// DispatchSlots returns how many generations may run at once on the runners
// that have the model loaded: the sum of their dispatch windows, 0 if there are
// none. A queue before the router should let no more requests through, since
// the rest would wait in the router, which is not fair between client accounts.
func (r *Router) DispatchSlots(model, adapter string) int {
	n := 0
	for _, x := range r.Residency.Runners(model, adapter) {
		if !x.Leaving {
			n += r.windows.limit(x)
		}
	}
	return n
}

// Generate starts a generation and returns its stream once an engine has
// accepted it. The stream survives failures of engines. ctx bounds the whole
// generation, and the caller must close the stream. Errors carry a verdict.
func (r *Router) Generate(ctx context.Context, request Request) (*Stream, error) {
	s := &Stream{
		router: r, ctx: ctx, request: request, fingerprint: request.fingerprint(),
		blocks: promptBlocks(request.Prompt), failedInstances: make(map[string]string),
	}
	r.budget.Request()
	if err := s.dispatch(); err != nil {
		return nil, err
	}
	return s, nil
}

// awaitRunner waits until the stream may run on some runner, and takes a
// dispatch slot there. If no usable runner has the model loaded, it asks the
// Waker to load the model.
func (r *Router) awaitRunner(stream *Stream) (Runner, *Run, error) {
	for {
		if err := stream.endError(); err != nil {
			return Runner{}, nil, err
		}
		if err := r.Suspects.Check(stream.fingerprint); err != nil {
			return Runner{}, nil, err
		}
		slotFreed, suspectsChanged := r.windows.nextRelease(), r.Suspects.Changed()
		candidates := r.candidates(stream)
		if len(candidates) == 0 {
			runner, err := r.wakeModel(stream)
			if err != nil {
				return Runner{}, nil, err
			}
			if runner, err = r.confirmLoaded(stream, runner); err != nil {
				_ = r.Clock.Sleep(stream.ctx, failedRecheckInterval)
				continue
			}
			if !r.Suspects.RecentlyCrashed(runner.Address, runner.Instance) {
				candidates = []Runner{runner}
			}
		}
		for _, runner := range candidates {
			run, err := r.tryRunner(stream, runner)
			if run != nil || err != nil {
				return runner, run, err
			}
		}
		t := r.Clock.NewTimer(slotRecheckInterval)
		select {
		case <-slotFreed:
		case <-suspectsChanged:
		case <-t.C():
		case <-stream.ctx.Done():
		}
		t.Stop()
	}
}

// tryRunner takes a dispatch slot of the runner and registers the run. It
// returns nil without an error if the window is full or the request is a
// suspect that may not run there now.
func (r *Router) tryRunner(stream *Stream, runner Runner) (*Run, error) {
	if !r.windows.acquire(runner) {
		return nil, nil
	}
	run, err := r.Suspects.Begin(stream.ctx, stream.fingerprint, runner.Address, runner.Instance)
	if run == nil {
		r.windows.giveBackSlot(runner.Address)
	}
	return run, err
}

// wakeModel has the Waker load the model, because no usable runner has it, and
// returns the runner.
func (r *Router) wakeModel(stream *Stream) (Runner, error) {
	start := r.Clock.Now()
	stream.recordEvent(drtimeline.Event{Name: drtimeline.WakeRequested}, "")
	runner, err := r.Waker.Wake(stream.ctx, stream.request.Model, stream.request.Adapter, stream.request.Deadline)
	answered := drtimeline.Event{Name: drtimeline.WakeAnswered, Took: r.Clock.Since(start)}
	if err != nil {
		answered.Reason = drerror.ReasonOf(err).String()
	}
	stream.recordEvent(answered, runner.Address)
	if err != nil {
		if endErr := stream.endError(); endErr != nil {
			return runner, endErr
		}
		// A failed wake-up ran nothing, but an earlier attempt may have run.
		return runner, stream.withPriorVerdict(err)
	}
	if runner.Instance == "" {
		// The report of the VM that owns the runner has not arrived yet.
		// Without the instance, a crash could not be told from an earlier one.
		if state, err := stream.probe(stream.ctx, r.Engines.Engine(runner.Address)); err == nil {
			runner.Instance = state.Instance
		}
	}
	return runner, nil
}

// confirmLoaded asks an engine on which the stream failed before whether it has
// the model loaded. The Waker may return this engine again because the VM that
// owns the runner does not know of the failure yet. Dispatching anyway would
// use up an attempt of the request each time.
func (r *Router) confirmLoaded(stream *Stream, runner Runner) (Runner, error) {
	if instance, failed := stream.failedInstances[runner.Address]; !failed || instance != runner.Instance {
		return runner, nil
	}
	state, err := stream.probe(stream.ctx, r.Engines.Engine(runner.Address))
	if err != nil {
		return runner, err
	}
	for _, replica := range state.Replicas {
		if replica.Model == stream.request.Model && replica.Adapter == stream.request.Adapter && replica.State == drengine.Loaded {
			runner.Instance = state.Instance
			return runner, nil
		}
	}
	return runner, fmt.Errorf("engine at %s has not loaded model %q", runner.Address, stream.request.Model)
}

// candidates returns the runners on which the stream may run, best first.
func (r *Router) candidates(stream *Stream) []Runner {
	all := r.Residency.Runners(stream.request.Model, stream.request.Adapter)
	all = slices.DeleteFunc(slices.Clone(all), func(x Runner) bool { return x.Leaving || r.Suspects.RecentlyCrashed(x.Address, x.Instance) })
	all = usable(r.ejector, all, func(x Runner) string { return x.Address }, func(x Runner) bool {
		instance, failed := stream.failedInstances[x.Address]
		return failed && instance == x.Instance
	})
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if r.Policy == Random {
		return all
	}
	scores := make(map[string]float64, len(all))
	for _, x := range all {
		scores[x.Address] = r.score(stream, x)
	}
	slices.SortStableFunc(all, func(a, b Runner) int { return cmp.Compare(scores[a.Address], scores[b.Address]) })
	return all
}

// score returns the expected delay on a runner, in units of one waiting
// request. It may be negative.
func (r *Router) score(stream *Stream, runner Runner) float64 {
	v := float64(runner.Waiting + r.windows.unreportedRequests(runner))
	v += runningWeight * float64(runner.Running) / float64(max(runner.Capacity, 1))
	v -= prefixWeight * r.prefixes.cachedShare(runner.Address, stream.request.Model, stream.blocks)
	if runner.Zone != r.Zone {
		v += zoneWeight
	}
	return v
}

// withDisarmableTimeout returns a context that ends with ctx, when cancel is
// called, or after the timeout unless disarm is called first. disarm must be
// called at most once.
func withDisarmableTimeout(ctx context.Context, clock drclock.Clock, timeout time.Duration) (sub context.Context, disarm func(), cancel context.CancelFunc) {
	sub, cancel = context.WithCancel(ctx)
	disarmed := make(chan struct{})
	t := clock.NewTimer(timeout)
	go func() {
		defer t.Stop()
		select {
		case <-t.C():
			cancel()
		case <-disarmed:
		case <-sub.Done():
		}
	}()
	return sub, func() { close(disarmed) }, cancel
}

// contextError returns an error with the verdict and the cause of ctx if ctx
// has ended, nil otherwise.
func contextError(ctx context.Context, verdict drerror.Verdict) error {
	if ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(ctx)
	return drerror.Wrap(verdict, drerror.ReasonOf(cause), cause, "request ended before it was complete")
}
