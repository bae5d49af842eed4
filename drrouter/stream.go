package drrouter

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// maxResumes bounds resumptions on the same engine without a new token.
const maxResumes = 2

// Stream delivers the tokens of one generation in order, each index once, over
// as many engines as it takes. It implements drengine.TokenStream. It is for one
// goroutine; others interrupt it through the context given to Generate.
type Stream struct {
	router      *Router
	ctx         context.Context
	request     Request
	fingerprint Fingerprint
	blocks      []uint64
	failed      map[string]string // address → instance

	attempts   int
	resumes    int // since the last token
	dispatched bool
	delivered  []string
	base       int // tokens that the current attempt was given as prefix
	id         string
	runner     Runner
	engine     drengine.Engine

	run    *Run // nil while no engine holds the generation
	tokens drengine.TokenStream
	cancel func()
	done   bool

	progress atomic.Int64 // lines read
}

// ended returns the error of a request whose context ended or which was
// closed, nil otherwise.
func (s *Stream) ended() error {
	v := drerror.NotRun
	if s.dispatched {
		v = drerror.MayHaveRun
	}
	return contextError(s.ctx, v)
}

// raise gives err at least the verdict that earlier attempts imply.
func (s *Stream) raise(err error) error {
	if !s.dispatched || drerror.Of(err) != drerror.NotRun {
		return err
	}
	return drerror.Wrap(drerror.MayHaveRun, drerror.ReasonOf(err), err, "after an earlier attempt")
}

// open dispatches the generation, from the first token not yet delivered.
func (s *Stream) open() error {
	for {
		x, run, err := s.router.place(s)
		if err != nil {
			return err
		}
		s.attempts++
		s.id = fmt.Sprintf("%s.%d", s.request.ID, s.attempts)
		s.runner, s.base, s.resumes = x, len(s.delivered), 0
		s.engine = s.router.Engines.Engine(x.Address)
		err = s.connect(run, func(ctx context.Context) (drengine.TokenStream, error) {
			if err := s.precheck(ctx, run); err != nil {
				return nil, err
			}
			return s.engine.Generate(ctx, drengine.Generation{
				ID: s.id, Model: s.request.Model, Adapter: s.request.Adapter,
				Prompt: s.request.Prompt, Prefix: s.delivered,
				MaxTokens: s.request.MaxTokens, Priority: s.request.Priority,
			})
		})
		if err == nil {
			s.dispatched = true
			s.record(drtimeline.GenerationDispatched, "")
			return nil
		}
		if drerror.Of(err) != drerror.NotRun {
			s.dispatched = true
		}
		if ended := s.ended(); ended != nil {
			s.leave(false)
			return ended
		}
		if err := s.abandon(err); err != nil {
			return err
		}
	}
}

// precheck returns an error if run is the trial of a suspect and the engine does
// not respond. An engine that was down before the trial would count as its
// second crash and block an innocent request.
func (s *Stream) precheck(ctx context.Context, run *Run) error {
	if run.trial == "" {
		return nil
	}
	if _, err := s.probe(ctx, s.engine); err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "engine does not respond before a trial")
	}
	return nil
}

// connect opens a stream of the engine and makes it the current one.
func (s *Stream) connect(run *Run, open func(context.Context) (drengine.TokenStream, error)) error {
	ctx, cancel := context.WithCancel(s.ctx)
	s.run, s.cancel, s.tokens = run, cancel, nil
	ts, err := open(ctx)
	if err != nil {
		cancel()
		return err
	}
	s.tokens = ts
	go s.watch(ctx, s.engine, s.runner.Instance, cancel)
	stop := context.AfterFunc(ctx, func() { ts.Close() })
	s.cancel = func() {
		stop()
		cancel()
		ts.Close()
	}
	return nil
}

// watch ends the current stream, by cancel, when it is silent and its engine
// does not respond.
func (s *Stream) watch(ctx context.Context, e drengine.Engine, instance string, cancel func()) {
	seen, failed := int64(-1), 0
	for s.router.Clock.Sleep(ctx, stallCheck) == nil {
		if n := s.progress.Load(); n != seen {
			seen, failed = n, 0
			continue
		}
		if st, err := s.probe(ctx, e); err == nil && (instance == "" || st.Instance == instance) {
			failed = 0
		} else if failed++; failed == stallProbes {
			cancel()
		}
	}
}

func (s *Stream) probe(ctx context.Context, e drengine.Engine) (drengine.State, error) {
	ctx, _, cancel := within(ctx, s.router.Clock, probeTimeout)
	defer cancel()
	return e.State(ctx, 0, 0, 0)
}

// Next returns the next token; see drengine.TokenStream. The last token counts
// the tokens of the whole generation. Errors carry a verdict.
func (s *Stream) Next() (drengine.Token, error) {
	if s.done {
		return drengine.Token{}, io.EOF
	}
	for {
		if ended := s.ended(); ended != nil {
			return drengine.Token{}, ended
		}
		t, err := s.read()
		if err == nil {
			var ok bool
			if t, ok, err = s.accept(t); ok {
				return t, nil
			}
			if err == nil {
				continue
			}
		}
		if ended := s.ended(); ended != nil {
			return drengine.Token{}, ended
		}
		if n := s.request.MaxTokens; n > 0 && len(s.delivered) >= n {
			// Only the final line was lost.
			s.finish()
			return drengine.Token{Index: n, Done: true, FinishReason: "length", CompletionTokens: n}, nil
		}
		if err := s.recover(err); err != nil {
			return drengine.Token{}, err
		}
	}
}

func (s *Stream) read() (drengine.Token, error) {
	if s.tokens == nil {
		return drengine.Token{}, io.ErrUnexpectedEOF
	}
	t, err := s.tokens.Next()
	s.progress.Add(1)
	if err == io.EOF { //nolint:errorlint // an unwrapped EOF before Done
		err = io.ErrUnexpectedEOF
	}
	return t, err
}

// accept checks t against what was delivered. It returns false without an
// error for a token to skip, with an error for a stream to leave.
func (s *Stream) accept(t drengine.Token) (drengine.Token, bool, error) {
	next := len(s.delivered)
	if t.Done {
		if n := t.CompletionTokens; n != 0 && n != next && n != next-s.base {
			return t, false, fmt.Errorf("engine counted %d tokens, %d were delivered", n, next)
		}
		s.finish()
		t.Index, t.CompletionTokens = next, next
		return t, true, nil
	}
	if t.Index == next {
		s.delivered = append(s.delivered, t.Text)
		s.resumes = 0
		return t, true, nil
	}
	if t.Index >= 0 && t.Index < next && s.delivered[t.Index] == t.Text {
		return t, false, nil // delivered before the stream was resumed
	}
	return t, false, fmt.Errorf("token index %d does not continue the stream at %d", t.Index, next)
}

func (s *Stream) finish() {
	s.done = true
	s.router.ejector.Success(s.runner.Address)
	s.leave(true)
}

// leave gives up the place on the current runner.
func (s *Stream) leave(success bool) {
	run := s.run
	if run == nil {
		return
	}
	s.cancel()
	s.run, s.tokens = nil, nil
	if success {
		run.Succeed()
	} else {
		run.End()
	}
	s.router.windows.release(s.runner.Address)
}

// recover continues a broken stream: on the same engine if that still holds
// the generation, else on another.
func (s *Stream) recover(cause error) error {
	s.record(drtimeline.StreamBroken, fmt.Sprintf("error=%q", cause))
	if s.resumes < maxResumes {
		s.resumes++
		if s.resume() == nil {
			return nil
		}
		if ended := s.ended(); ended != nil {
			return ended
		}
	}
	if err := s.abandon(cause); err != nil {
		return err
	}
	return s.open()
}

func (s *Stream) resume() error {
	s.cancel()
	return s.connect(s.run, func(ctx context.Context) (drengine.TokenStream, error) {
		sub, keep, cancel := within(ctx, s.router.Clock, probeTimeout)
		ts, err := s.engine.Resume(sub, s.id, len(s.delivered))
		if err != nil {
			cancel()
			return nil, err
		}
		keep()
		return ts, nil
	})
}

// abandon leaves a runner that failed with cause. It returns an error if the
// request must not be tried elsewhere.
func (s *Stream) abandon(cause error) error {
	s.failed[s.runner.Address] = s.runner.Instance
	overloaded := drerror.Of(cause) == drerror.NotRun && drerror.ReasonOf(cause) == drerror.NoCapacity
	if !overloaded {
		if d := s.router.ejector.Failure(s.runner.Address); d > 0 {
			s.record(drtimeline.BackendEjected, "for="+d.String())
		}
	}
	if drerror.Of(cause) != drerror.NotRun && s.crashed() {
		s.router.prefixes.drop(s.runner.Address)
		s.record(drtimeline.BackendCrashed, "instance="+s.runner.Instance)
		s.run.Crash(s.ctx)
	} else if drerror.Of(cause) != drerror.NotRun {
		s.cancelGeneration()
	}
	s.leave(false)
	if err := s.router.Suspects.Check(s.fingerprint); err != nil {
		return err
	}
	if s.attempts >= maxAttempts || !s.retry() {
		if _, ok := cause.(*drerror.Error); ok && !s.dispatched { //nolint:errorlint // keep the engine's own reason
			if drerror.ReasonOf(cause) == drerror.UnknownModel {
				// The engine has not loaded the model, which exists.
				return drerror.Wrap(drerror.NotRun, drerror.NoCapacity, cause, "no further attempt")
			}
			return cause
		}
		v := drerror.NotRun
		if s.dispatched {
			v = drerror.MayHaveRun
		}
		return drerror.Wrap(v, drerror.BackendFailed, cause, "no further attempt")
	}
	s.record(drtimeline.GenerationRetried, fmt.Sprintf("delivered=%d", len(s.delivered)))
	return nil
}

// retry reports whether the budget allows a retry.
func (s *Stream) retry() bool {
	ok := s.router.budget.Retry()
	if !ok {
		s.record(drtimeline.RetryRefused, "")
	}
	return ok
}

// crashed reports whether the engine process that held the generation is gone
// although it was not leaving.
func (s *Stream) crashed() bool {
	for _, x := range s.router.Residency.Runners(s.request.Model, s.request.Adapter) {
		if x.Address == s.runner.Address && x.Leaving {
			return false
		}
	}
	st, err := s.probe(context.WithoutCancel(s.ctx), s.engine)
	if err != nil {
		return true
	}
	return !st.Leaving && s.runner.Instance != "" && st.Instance != s.runner.Instance
}

// cancelGeneration frees the engine from the generation, at best effort.
func (s *Stream) cancelGeneration() {
	ctx, _, cancel := within(context.WithoutCancel(s.ctx), s.router.Clock, probeTimeout)
	defer cancel()
	_ = s.engine.Cancel(ctx, s.id)
}

// Close ends the stream and cancels the generation unless it is complete.
func (s *Stream) Close() error {
	s.done = true
	if s.run != nil {
		s.cancel()
		s.cancelGeneration()
		s.leave(false)
	}
	return nil
}

func (s *Stream) record(name, detail string) {
	s.note(drtimeline.Event{Name: name, Detail: detail}, s.runner.Address)
}

// note records e for the request, which concerns the backend server.
func (s *Stream) note(e drtimeline.Event, backend string) {
	e.RequestID, e.Account, e.Model, e.Backend = s.request.RequestID, s.request.Account, s.request.Model, backend
	if a := s.request.Adapter; a != "" {
		e.Detail = strings.TrimSpace(e.Detail + " adapter=" + a)
	}
	s.router.Recorder.Record(e)
}
