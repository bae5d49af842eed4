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
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Backends lists the backend servers of a fleet. drmember.View implements it.
type Backends interface {
	Backends(fleet string) []drmember.Backend
}

// ServicesConfig configures Services. All fields but Zone must be set.
type ServicesConfig struct {
	Clock drclock.Clock
	// Zone is the availability zone of this entry VM. Among equally busy
	// backend servers, those in it are preferred.
	Zone     string
	Backends Backends
	Caller   Caller
	Suspects *Suspects
	Recorder drtimeline.Recorder
}

// Services calls plain services and retries failed calls. It is safe for
// concurrent use.
type Services struct {
	ServicesConfig
	ejector  *Ejector
	budget   *drbalancer.Budget
	mu       sync.Mutex
	inflight map[string]int // calls by address of the backend server; no entry means none
}

// NewServices returns a Services with a full retry budget and no server
// ejected.
func NewServices(config ServicesConfig) *Services {
	return &Services{
		ServicesConfig: config, ejector: NewEjector(config.Clock), budget: newBudget(config.Clock),
		inflight: make(map[string]int),
	}
}

// Call sends a call to a backend server of the fleet. After a failure with
// verdict NotRun it tries another server, after one with MayHaveRun only if the
// call is repeatable. The verdict of an error covers all attempts.
func (s *Services) Call(ctx context.Context, fleet string, call Call) (Answer, error) {
	s.budget.Request()
	fingerprint := call.fingerprint()
	failed := make(map[string]bool)
	verdict := drerror.NotRun
	var lastErr error
	var lastBackend drmember.Backend // the server that lastErr is from
	for attempt := 0; ; attempt++ {
		if attempt > 0 && (attempt >= maxAttempts || !s.allowRetry(lastBackend, call)) {
			return Answer{}, drerror.Wrap(verdict, drerror.BackendFailed, lastErr, "attempt limit or retry budget used up")
		}
		backend, run, err := s.acquireBackend(ctx, fleet, fingerprint, failed, verdict)
		if err != nil {
			if lastErr != nil && drerror.ReasonOf(err) == drerror.NoCapacity {
				err = drerror.Wrap(verdict, drerror.BackendFailed, lastErr, "no other backend server is usable for a retry")
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
		verdict = max(verdict, drerror.VerdictOf(err))
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

// allowRetry takes a retry from the budget after a failure of the backend
// server, and reports false if none is left.
func (s *Services) allowRetry(backend drmember.Backend, call Call) bool {
	if !s.budget.Retry() {
		s.record(drtimeline.RetryRefused, backend, call)
		return false
	}
	s.record(drtimeline.CallRetried, backend, call)
	return true
}

// record records an event of the call that concerns the backend server.
func (s *Services) record(name string, backend drmember.Backend, call Call) {
	s.Recorder.Record(drtimeline.Event{Name: name, RequestID: call.ID, Account: call.Account, Backend: backend.Address})
}

// recordFailure counts a failure of the backend server toward its ejection.
func (s *Services) recordFailure(backend drmember.Backend) {
	if ejection := s.ejector.Failure(backend.Address); ejection > 0 {
		s.Recorder.Record(drtimeline.Event{Name: drtimeline.BackendEjected, Backend: backend.Address, Detail: "for=" + ejection.String()})
	}
}

// callBackend sends the call and updates the ejector and the suspects by its
// result. An error after the call was sent counts as a crash of the server,
// unless ctx ended, which breaks the connection as well. An error with verdict
// Ran, such as a response that is too large, counts neither against the server
// nor against the call.
func (s *Services) callBackend(ctx context.Context, backend drmember.Backend, run *Run, call Call) (Answer, error) {
	defer s.decrementInflight(backend)
	defer run.End()
	answer, err := s.Caller.Call(ctx, backend.Address, call)
	switch {
	case err == nil:
		s.ejector.Success(backend.Address)
		run.Succeed()
	case drerror.VerdictOf(err) == drerror.Ran:
		run.Succeed()
	case ctx.Err() != nil:
	case drerror.VerdictOf(err) == drerror.NotRun:
		s.recordFailure(backend)
	default:
		s.recordFailure(backend)
		run.Crash(ctx)
	}
	return answer, err
}

// decrementInflight undoes the count of acquireBackend.
func (s *Services) decrementInflight(backend drmember.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight[backend.Address]--; s.inflight[backend.Address] <= 0 {
		delete(s.inflight, backend.Address)
	}
}

// acquireBackend waits until the call may run on some backend server, registers
// the run there and counts it in inflight. The verdict is that of the attempts
// so far and goes into the error of an ended context.
func (s *Services) acquireBackend(ctx context.Context, fleet string, fingerprint drrequest.Fingerprint, failed map[string]bool, verdict drerror.Verdict) (drmember.Backend, *Run, error) {
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

// candidates returns the usable servers on which the call has not failed, in
// the order in which to try them: by calls in flight, then those in the zone of
// this VM first. Ties are in random order.
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

// zoneDistance returns 0 for a server in the zone of this VM and 1 for a server
// in another.
func (s *Services) zoneDistance(backend drmember.Backend) int {
	if backend.Zone == s.Zone {
		return 0
	}
	return 1
}
