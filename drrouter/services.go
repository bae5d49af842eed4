package drrouter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Backends lists the backend servers of a fleet; drmember.View implements it.
type Backends interface {
	Backends(fleet string) []drmember.Backend
}

// ServicesConfig configures Services.
type ServicesConfig struct {
	Clock    drclock.Clock
	Zone     string
	Backends Backends
	Caller   Caller
	Suspects *Suspects
	Recorder drtimeline.Recorder
}

// Services calls plain services. It is safe for concurrent use.
type Services struct {
	ServicesConfig
	ejector  *Ejector
	budget   *drbalancer.Budget
	mu       sync.Mutex
	inflight map[string]int
}

// NewServices returns a Services.
func NewServices(config ServicesConfig) *Services {
	return &Services{
		ServicesConfig: config, ejector: NewEjector(config.Clock), budget: newBudget(config.Clock),
		inflight: make(map[string]int),
	}
}

// Call sends c to a backend server of the fleet. A failure with NotRun is
// retried on another server, one with MayHaveRun only if c is repeatable.
// Errors carry the verdict over all attempts.
func (s *Services) Call(ctx context.Context, fleet string, call Call) (Answer, error) {
	s.budget.Request()
	fingerprint := call.fingerprint()
	failed := make(map[string]bool)
	verdict := drerror.NotRun
	var lastErr error
	var lastBackend drmember.Backend // of the last failure
	for attempt := 0; ; attempt++ {
		if attempt > 0 && (attempt >= maxAttempts || !s.allowRetry(lastBackend, call)) {
			return Answer{}, drerror.Wrap(verdict, drerror.BackendFailed, lastErr, "no further attempt")
		}
		backend, run, err := s.acquireBackend(ctx, fleet, fingerprint, failed, verdict)
		if err != nil {
			if lastErr != nil && drerror.ReasonOf(err) == drerror.NoCapacity {
				err = drerror.Wrap(verdict, drerror.BackendFailed, lastErr, "no other backend server")
			}
			return Answer{}, err
		}
		if call.Proceed != nil {
			if err := call.Proceed(); err != nil {
				s.decrementInflight(backend)
				run.End()
				return Answer{}, drerror.Wrap(verdict, drerror.ReasonOf(err), err, "not dispatched")
			}
		}
		s.record(drtimeline.CallDispatched, backend, call)
		answer, err := s.callBackend(ctx, backend, run, call)
		if err == nil {
			return answer, nil
		}
		lastErr, lastBackend = err, backend
		verdict = max(verdict, drerror.Of(err))
		failed[backend.Address] = true
		if endErr := contextError(ctx, verdict); endErr != nil {
			return Answer{}, endErr
		}
		if blocked := s.Suspects.Check(fingerprint); blocked != nil {
			return Answer{}, blocked
		}
		if verdict == drerror.Ran || verdict != drerror.NotRun && !call.Repeatable {
			return Answer{}, drerror.Wrap(verdict, drerror.BackendFailed, err, "call failed and may not be repeated")
		}
	}
}

// allowRetry reports whether the budget allows a retry after a failure of b.
func (s *Services) allowRetry(backend drmember.Backend, call Call) bool {
	if !s.budget.Retry() {
		s.record(drtimeline.RetryRefused, backend, call)
		return false
	}
	s.record(drtimeline.CallRetried, backend, call)
	return true
}

func (s *Services) record(name string, backend drmember.Backend, call Call) {
	s.Recorder.Record(drtimeline.Event{Name: name, RequestID: call.ID, Account: call.Account, Backend: backend.Address})
}

// recordFailure counts a failure of b.
func (s *Services) recordFailure(backend drmember.Backend) {
	if ejection := s.ejector.Failure(backend.Address); ejection > 0 {
		s.Recorder.Record(drtimeline.Event{Name: drtimeline.BackendEjected, Backend: backend.Address, Detail: "for=" + ejection.String()})
	}
}

func (s *Services) callBackend(ctx context.Context, backend drmember.Backend, run *Run, call Call) (Answer, error) {
	defer s.decrementInflight(backend)
	defer run.End()
	answer, err := s.Caller.Call(ctx, backend.Address, call)
	switch {
	case err == nil:
		s.ejector.Success(backend.Address)
		run.Succeed()
	case drerror.Of(err) == drerror.Ran:
		run.Succeed()
	case ctx.Err() != nil:
	case drerror.Of(err) == drerror.NotRun:
		s.recordFailure(backend)
	default:
		s.recordFailure(backend)
		run.Crash(ctx)
	}
	return answer, err
}

func (s *Services) decrementInflight(backend drmember.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight[backend.Address]--; s.inflight[backend.Address] <= 0 {
		delete(s.inflight, backend.Address)
	}
}

// acquireBackend waits until the call may run on some server and takes a place there.
func (s *Services) acquireBackend(ctx context.Context, fleet string, fingerprint Fingerprint, failed map[string]bool, verdict drerror.Verdict) (drmember.Backend, *Run, error) {
	for {
		changed := s.Suspects.Changed()
		if err := contextError(ctx, verdict); err != nil {
			return drmember.Backend{}, nil, err
		}
		candidates := s.candidates(fleet, failed)
		if len(candidates) == 0 {
			return drmember.Backend{}, nil, drerror.New(drerror.NotRun, drerror.NoCapacity,
				"fleet %q has no usable backend server", fleet).WithRetryAfter(minEjection)
		}
		for _, backend := range candidates {
			run, err := s.Suspects.Begin(ctx, fingerprint, backend.Address, "")
			if err != nil {
				return backend, nil, err
			}
			if run != nil {
				s.mu.Lock()
				s.inflight[backend.Address]++
				s.mu.Unlock()
				return backend, run, nil
			}
		}
		t := s.Clock.NewTimer(slotRecheckInterval)
		select {
		case <-changed:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// candidates returns the usable servers, least in flight first, then those in
// the own zone.
func (s *Services) candidates(fleet string, failed map[string]bool) []drmember.Backend {
	candidates := slices.DeleteFunc(slices.Clone(s.Backends.Backends(fleet)), func(b drmember.Backend) bool {
		return b.Leaving
	})
	candidates = usable(s.ejector, candidates, func(b drmember.Backend) string { return b.Address },
		func(b drmember.Backend) bool { return failed[b.Address] })
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(candidates, func(a, b drmember.Backend) int {
		if c := cmp.Compare(s.inflight[a.Address], s.inflight[b.Address]); c != 0 {
			return c
		}
		return cmp.Compare(s.zoneDistance(a), s.zoneDistance(b))
	})
	return candidates
}

func (s *Services) zoneDistance(backend drmember.Backend) int {
	if backend.Zone == s.Zone {
		return 0
	}
	return 1
}
