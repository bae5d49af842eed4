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
func NewServices(c ServicesConfig) *Services {
	return &Services{
		ServicesConfig: c, ejector: NewEjector(c.Clock), budget: newBudget(c.Clock),
		inflight: make(map[string]int),
	}
}

// Call sends c to a backend server of the fleet. A failure with NotRun is
// retried on another server, one with MayHaveRun only if c is repeatable.
// Errors carry the verdict over all attempts.
func (s *Services) Call(ctx context.Context, fleet string, c Call) (Answer, error) {
	s.budget.Request()
	f := c.fingerprint()
	failed := make(map[string]bool)
	verdict := drerror.NotRun
	var last error
	var from drmember.Backend // of the last failure
	for attempt := 0; ; attempt++ {
		if attempt > 0 && (attempt >= maxAttempts || !s.retry(from, c)) {
			return Answer{}, drerror.Wrap(verdict, drerror.BackendFailed, last, "no further attempt")
		}
		b, run, err := s.place(ctx, fleet, f, failed, verdict)
		if err != nil {
			if last != nil && drerror.ReasonOf(err) == drerror.NoCapacity {
				err = drerror.Wrap(verdict, drerror.BackendFailed, last, "no other backend server")
			}
			return Answer{}, err
		}
		if c.Proceed != nil {
			if err := c.Proceed(); err != nil {
				s.leave(b)
				run.End()
				return Answer{}, drerror.Wrap(verdict, drerror.ReasonOf(err), err, "not dispatched")
			}
		}
		s.record(drtimeline.CallDispatched, b, c)
		a, err := s.try(ctx, b, run, c)
		if err == nil {
			return a, nil
		}
		last, from = err, b
		verdict = max(verdict, drerror.Of(err))
		failed[b.Address] = true
		if ended := contextError(ctx, verdict); ended != nil {
			return Answer{}, ended
		}
		if blocked := s.Suspects.Check(f); blocked != nil {
			return Answer{}, blocked
		}
		if verdict == drerror.Ran || verdict != drerror.NotRun && !c.Repeatable {
			return Answer{}, drerror.Wrap(verdict, drerror.BackendFailed, err, "call failed and may not be repeated")
		}
	}
}

// retry reports whether the budget allows a retry after a failure of b.
func (s *Services) retry(b drmember.Backend, c Call) bool {
	if !s.budget.Retry() {
		s.record(drtimeline.RetryRefused, b, c)
		return false
	}
	s.record(drtimeline.CallRetried, b, c)
	return true
}

func (s *Services) record(name string, b drmember.Backend, c Call) {
	s.Recorder.Record(drtimeline.Event{Name: name, RequestID: c.ID, Account: c.Account, Backend: b.Address})
}

// failure counts a failure of b.
func (s *Services) failure(b drmember.Backend) {
	if d := s.ejector.Failure(b.Address); d > 0 {
		s.Recorder.Record(drtimeline.Event{Name: drtimeline.BackendEjected, Backend: b.Address, Detail: "for=" + d.String()})
	}
}

func (s *Services) try(ctx context.Context, b drmember.Backend, run *Run, c Call) (Answer, error) {
	defer s.leave(b)
	defer run.End()
	a, err := s.Caller.Call(ctx, b.Address, c)
	switch {
	case err == nil:
		s.ejector.Success(b.Address)
		run.Succeed()
	case drerror.Of(err) == drerror.Ran:
		run.Succeed()
	case ctx.Err() != nil:
	case drerror.Of(err) == drerror.NotRun:
		s.failure(b)
	default:
		s.failure(b)
		run.Crash(ctx)
	}
	return a, err
}

func (s *Services) leave(b drmember.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight[b.Address]--; s.inflight[b.Address] <= 0 {
		delete(s.inflight, b.Address)
	}
}

// place waits until the call may run on some server and takes a place there.
func (s *Services) place(ctx context.Context, fleet string, f Fingerprint, failed map[string]bool, v drerror.Verdict) (drmember.Backend, *Run, error) {
	for {
		changed := s.Suspects.Changed()
		if err := contextError(ctx, v); err != nil {
			return drmember.Backend{}, nil, err
		}
		bs := s.candidates(fleet, failed)
		if len(bs) == 0 {
			return drmember.Backend{}, nil, drerror.New(drerror.NotRun, drerror.NoCapacity,
				"fleet %q has no usable backend server", fleet).WithRetryAfter(ejectFirst)
		}
		for _, b := range bs {
			run, err := s.Suspects.Begin(ctx, f, b.Address, "")
			if err != nil {
				return b, nil, err
			}
			if run != nil {
				s.mu.Lock()
				s.inflight[b.Address]++
				s.mu.Unlock()
				return b, run, nil
			}
		}
		t := s.Clock.NewTimer(placeRecheck)
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
	bs := slices.DeleteFunc(slices.Clone(s.Backends.Backends(fleet)), func(b drmember.Backend) bool {
		return b.Leaving
	})
	bs = usable(s.ejector, bs, func(b drmember.Backend) string { return b.Address },
		func(b drmember.Backend) bool { return failed[b.Address] })
	rand.Shuffle(len(bs), func(i, j int) { bs[i], bs[j] = bs[j], bs[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(bs, func(a, b drmember.Backend) int {
		if c := cmp.Compare(s.inflight[a.Address], s.inflight[b.Address]); c != 0 {
			return c
		}
		return cmp.Compare(s.distance(a), s.distance(b))
	})
	return bs
}

func (s *Services) distance(b drmember.Backend) int {
	if b.Zone == s.Zone {
		return 0
	}
	return 1
}
