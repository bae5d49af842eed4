// Package drrouter chooses backend servers for requests and carries requests
// over the failures of backend servers: retries by verdict and within a
// budget, resumption of token streams, ejection of failing servers, and
// blocking of requests that crash servers.
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
	// prefixWeight and zoneWeight are in units of one waiting request: a
	// fully cached prompt saves about two average prefills, and a hop to
	// another zone costs far less than one.
	prefixWeight = 2.0
	zoneWeight   = 0.25
	// runningWeight prefers the emptier batch among runners without waiting
	// requests.
	runningWeight = 0.5

	// placeRecheck bounds how long a change of residency goes unnoticed by a
	// request that waits for a place.
	placeRecheck = 50 * time.Millisecond
	// failedRecheck is the time between looks at an engine that failed and is
	// the only one with the model. All requests that it broke look.
	failedRecheck = 200 * time.Millisecond
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 6
	// probeTimeout bounds the calls that find out what became of a stream.
	probeTimeout = time.Second
	// stallCheck is how long a stream may be silent before its engine is
	// probed, stallProbes how many failed probes in a row end it. A reclaimed
	// VM closes no connection, so reading from it would last to the deadline.
	stallCheck  = 2 * time.Second
	stallProbes = 2
	cacheWait   = 2 * time.Second
	cachePause  = time.Second
)

// Config configures a Router.
type Config struct {
	Clock     drclock.Clock
	Zone      string
	Policy    Policy
	Residency Residency
	Engines   Engines
	Waker     Waker
	Suspects  *Suspects
	Recorder  drtimeline.Recorder
	// VMs returns how many entry VMs send to the same runners; nil means one.
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

// New returns a Router.
func New(c Config) *Router {
	return &Router{
		Config: c, ejector: NewEjector(c.Clock), budget: newBudget(c.Clock),
		windows: newWindows(c.VMs), prefixes: newPrefixes(),
	}
}

// FollowCache keeps the prefix map of the engine at address up to date until
// ctx ends.
func (r *Router) FollowCache(ctx context.Context, address string) {
	defer r.prefixes.drop(address)
	var after uint64
	for ctx.Err() == nil {
		es, err := r.Engines.Engine(address).CacheEvents(ctx, after, cacheWait)
		if err != nil {
			r.prefixes.drop(address)
			after = 0
			_ = r.Clock.Sleep(ctx, cachePause)
			continue
		}
		if len(es) > 0 {
			after = es[len(es)-1].Seq
			r.prefixes.apply(address, es)
		}
	}
}

// Places returns how many generations may run at once on the runners that have
// the model loaded: the sum of their dispatch windows, 0 if there are none. A
// queue that lets more through only moves the waiting into the router, where
// it is not fair.
func (r *Router) Places(model, adapter string) int {
	n := 0
	for _, x := range r.Residency.Runners(model, adapter) {
		if !x.Leaving {
			n += r.windows.size(x)
		}
	}
	return n
}

// Generate starts a generation and returns its stream once an engine accepted
// it. The stream survives failures of engines. ctx bounds the whole
// generation; the caller must close the stream. Errors carry a verdict.
func (r *Router) Generate(ctx context.Context, q Request) (*Stream, error) {
	s := &Stream{
		router: r, ctx: ctx, request: q, fingerprint: q.fingerprint(),
		blocks: promptBlocks(q.Prompt), failed: make(map[string]string),
	}
	r.budget.Request()
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// place waits until s may run on some runner and takes a place there.
func (r *Router) place(s *Stream) (Runner, *Run, error) {
	for {
		if err := s.ended(); err != nil {
			return Runner{}, nil, err
		}
		if err := r.Suspects.Check(s.fingerprint); err != nil {
			return Runner{}, nil, err
		}
		free, idle := r.windows.wait(), r.Suspects.Changed()
		candidates := r.candidates(s)
		if len(candidates) == 0 {
			x, err := r.wake(s)
			if err != nil {
				return Runner{}, nil, err
			}
			if x, err = r.confirm(s, x); err != nil {
				_ = r.Clock.Sleep(s.ctx, failedRecheck)
				continue
			}
			if !r.Suspects.Fallen(x.Address, x.Instance) {
				candidates = []Runner{x}
			}
		}
		for _, x := range candidates {
			run, err := r.take(s, x)
			if run != nil || err != nil {
				return x, run, err
			}
		}
		t := r.Clock.NewTimer(placeRecheck)
		select {
		case <-free:
		case <-idle:
		case <-t.C():
		case <-s.ctx.Done():
		}
		t.Stop()
	}
}

func (r *Router) take(s *Stream, x Runner) (*Run, error) {
	if !r.windows.acquire(x) {
		return nil, nil
	}
	run, err := r.Suspects.Begin(s.ctx, s.fingerprint, x.Address, x.Instance)
	if run == nil {
		r.windows.undo(x.Address)
	}
	return run, err
}

// wake has the model loaded because no usable runner has it.
func (r *Router) wake(s *Stream) (Runner, error) {
	start := r.Clock.Now()
	s.note(drtimeline.Event{Name: drtimeline.WakeRequested}, "")
	x, err := r.Waker.Wake(s.ctx, s.request.Model, s.request.Adapter, s.request.Deadline)
	answered := drtimeline.Event{Name: drtimeline.WakeAnswered, Took: r.Clock.Since(start)}
	if err != nil {
		answered.Reason = drerror.ReasonOf(err).String()
	}
	s.note(answered, x.Address)
	if err != nil {
		if ended := s.ended(); ended != nil {
			return x, ended
		}
		// The wake-up did not run, but an earlier attempt may have.
		return x, s.raise(err)
	}
	if x.Instance == "" {
		// The owner's report is still on its way. Without the instance, a crash
		// could not be told from the one before.
		if st, err := s.probe(s.ctx, r.Engines.Engine(x.Address)); err == nil {
			x.Instance = st.Instance
		}
	}
	return x, nil
}

// confirm asks an engine on which s failed before whether it serves the model.
// The owner of the runner, which named it again, may not know of the failure
// yet, and each dispatch would use up an attempt of the request.
func (r *Router) confirm(s *Stream, x Runner) (Runner, error) {
	if instance, failed := s.failed[x.Address]; !failed || instance != x.Instance {
		return x, nil
	}
	st, err := s.probe(s.ctx, r.Engines.Engine(x.Address))
	if err != nil {
		return x, err
	}
	for _, l := range st.Replicas {
		if l.Model == s.request.Model && l.Adapter == s.request.Adapter && l.State == drengine.Loaded {
			x.Instance = st.Instance
			return x, nil
		}
	}
	return x, fmt.Errorf("engine %s has not loaded %q", x.Address, s.request.Model)
}

// candidates returns the runners that may take s, best first.
func (r *Router) candidates(s *Stream) []Runner {
	all := r.Residency.Runners(s.request.Model, s.request.Adapter)
	all = slices.DeleteFunc(slices.Clone(all), func(x Runner) bool { return x.Leaving || r.Suspects.Fallen(x.Address, x.Instance) })
	all = usable(r.ejector, all, func(x Runner) string { return x.Address }, func(x Runner) bool {
		instance, failed := s.failed[x.Address]
		return failed && instance == x.Instance
	})
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if r.Policy == Random {
		return all
	}
	scores := make(map[string]float64, len(all))
	for _, x := range all {
		scores[x.Address] = r.score(s, x)
	}
	slices.SortStableFunc(all, func(a, b Runner) int { return cmp.Compare(scores[a.Address], scores[b.Address]) })
	return all
}

// score is the expected delay on a runner in units of a waiting request.
func (r *Router) score(s *Stream, x Runner) float64 {
	v := float64(x.Waiting + r.windows.load(x))
	v += runningWeight * float64(x.Running) / float64(max(x.Capacity, 1))
	v -= prefixWeight * r.prefixes.hit(x.Address, s.request.Model, s.blocks)
	if x.Zone != r.Zone {
		v += zoneWeight
	}
	return v
}

// within returns a context that ends with ctx, with cancel, or after d unless
// keep was called before.
func within(ctx context.Context, c drclock.Clock, d time.Duration) (sub context.Context, keep func(), cancel context.CancelFunc) {
	sub, cancel = context.WithCancel(ctx)
	kept := make(chan struct{})
	t := c.NewTimer(d)
	go func() {
		defer t.Stop()
		select {
		case <-t.C():
			cancel()
		case <-kept:
		case <-sub.Done():
		}
	}()
	return sub, func() { close(kept) }, cancel
}

// contextError returns the error of a request whose context ended.
func contextError(ctx context.Context, v drerror.Verdict) error {
	if ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(ctx)
	return drerror.Wrap(v, drerror.ReasonOf(cause), cause, "request ended")
}
