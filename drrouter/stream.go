package drrouter

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// maxResumes bounds how often a stream is resumed on the same engine without a
// new token in between.
const maxResumes = 2

// Stream delivers the tokens of one generation in order, each index once,
// although the generation may move between engines. It implements
// drengine.TokenStream. It must be used by one goroutine at a time; others
// interrupt it through the context given to Generate.
type Stream struct {
	router          *Router
	ctx             context.Context
	request         Request
	fingerprint     drrequest.Fingerprint
	blocks          []uint64          // hashes of the prompt's blocks
	failedInstances map[string]string // instance that failed last, by address of the engine

	attempts     int      // dispatches so far, at most maxAttempts
	resumes      int      // resumptions on the current engine since the last token
	dispatched   bool     // whether an engine may have run the request
	delivered    []string // texts of the tokens returned by Next
	prefixTokens int      // delivered tokens that the current engine got with the prompt
	generationID string   // id of the current attempt at its engine
	runner       Runner
	engine       drengine.Engine

	run    *Run                 // nil while no engine holds the generation
	tokens drengine.TokenStream // nil if the current engine could not be reached
	cancel func()               // closes tokens and ends their watcher
	done   bool

	linesRead atomic.Int64 // lines read from engines, as a sign of progress
}

// endError returns an error if the context of the request ended, nil otherwise.
// Its verdict is MayHaveRun once an engine may have run the request.
func (s *Stream) endError() error {
	verdict := drerror.NotRun
	if s.dispatched {
		verdict = drerror.MayHaveRun
	}
	return contextError(s.ctx, verdict)
}

// withPriorVerdict raises the verdict of err to MayHaveRun if an earlier
// attempt may have run.
func (s *Stream) withPriorVerdict(err error) error {
	if !s.dispatched || drerror.VerdictOf(err) != drerror.NotRun {
		return err
	}
	return drerror.Wrap(drerror.MayHaveRun, drerror.ReasonOf(err), err, "wake-up failed after an earlier attempt")
}

// dispatch starts the generation on an engine, from the first token that was
// not delivered yet, and tries other engines after failures.
func (s *Stream) dispatch() error {
	for {
		runner, run, err := s.router.awaitRunner(s)
		if err != nil {
			return err
		}
		s.attempts++
		s.generationID = fmt.Sprintf("%s.%d", s.request.ID, s.attempts)
		s.runner, s.prefixTokens, s.resumes = runner, len(s.delivered), 0
		s.engine = s.router.Engines.Engine(runner.Address)
		err = s.connect(run, func(ctx context.Context) (drengine.TokenStream, error) {
			if err := s.probeBeforeTrial(ctx, run); err != nil {
				return nil, err
			}
			return s.engine.Generate(ctx, drengine.Generation{
				ID: s.generationID, Model: s.request.Model, Adapter: s.request.Adapter,
				Prompt: s.request.Prompt, Prefix: s.delivered,
				MaxTokens: s.request.MaxTokens, Priority: s.request.Priority,
			})
		})
		if err == nil {
			s.dispatched = true
			s.record(drtimeline.GenerationDispatched, "")
			return nil
		}
		if drerror.VerdictOf(err) != drerror.NotRun {
			s.dispatched = true
		}
		if endErr := s.endError(); endErr != nil {
			s.releaseRunner(false)
			return endErr
		}
		if err := s.abandonAttempt(err); err != nil {
			return err
		}
	}
}

// probeBeforeTrial returns an error if the run is the trial of a suspect and
// the engine does not respond. If the engine was already down before the trial,
// the failure would count as the second crash of the request and block it
// without cause.
func (s *Stream) probeBeforeTrial(ctx context.Context, run *Run) error {
	if run.trialID == "" {
		return nil
	}
	if _, err := s.probe(ctx, s.engine); err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "engine does not respond before a trial")
	}
	return nil
}

// connect makes the run and the stream that openStream returns the current
// ones, and watches the stream for stalls.
func (s *Stream) connect(run *Run, openStream func(context.Context) (drengine.TokenStream, error)) error {
	ctx, cancel := context.WithCancel(s.ctx)
	s.run, s.cancel, s.tokens = run, cancel, nil
	tokens, err := openStream(ctx)
	if err != nil {
		cancel()
		return err
	}
	s.tokens = tokens
	go s.cancelWhenStalled(ctx, s.engine, s.runner.Instance, cancel)
	stop := context.AfterFunc(ctx, func() { tokens.Close() })
	s.cancel = func() {
		stop()
		cancel()
		tokens.Close()
	}
	return nil
}

// cancelWhenStalled calls cancel when the current stream delivers nothing and
// maxFailedProbes probes of its engine in a row failed. A probe also fails if
// the engine process was replaced by another.
func (s *Stream) cancelWhenStalled(ctx context.Context, engine drengine.Engine, instance string, cancel func()) {
	lastRead, failedProbes := int64(-1), 0
	for s.router.Clock.Sleep(ctx, stallCheckInterval) == nil {
		if n := s.linesRead.Load(); n != lastRead {
			lastRead, failedProbes = n, 0
			continue
		}
		if state, err := s.probe(ctx, engine); err == nil && (instance == "" || state.Instance == instance) {
			failedProbes = 0
		} else if failedProbes++; failedProbes == maxFailedProbes {
			cancel()
		}
	}
}

// probe returns the state of an engine, or an error after probeTimeout.
func (s *Stream) probe(ctx context.Context, engine drengine.Engine) (drengine.State, error) {
	ctx, _, cancel := withDisarmableTimeout(ctx, s.router.Clock, probeTimeout)
	defer cancel()
	return engine.State(ctx, 0, 0, 0)
}

// Next returns the next token; see drengine.TokenStream. The last token carries
// the number of tokens of the whole generation. Errors carry a verdict.
func (s *Stream) Next() (drengine.Token, error) {
	if s.done {
		return drengine.Token{}, io.EOF
	}
	for {
		if endErr := s.endError(); endErr != nil {
			return drengine.Token{}, endErr
		}
		token, err := s.read()
		if err == nil {
			var ok bool
			if token, ok, err = s.accept(token); ok {
				return token, nil
			}
			if err == nil {
				continue
			}
		}
		if endErr := s.endError(); endErr != nil {
			return drengine.Token{}, endErr
		}
		if n := s.request.MaxTokens; n > 0 && len(s.delivered) >= n {
			// All tokens arrived and only the final line was lost.
			s.finish()
			return drengine.Token{Index: n, Done: true, FinishReason: "length", CompletionTokens: n}, nil
		}
		if err := s.continueStream(err); err != nil {
			return drengine.Token{}, err
		}
	}
}

// read returns the next token from the current engine. An end of the stream
// before its final line is returned as io.ErrUnexpectedEOF.
func (s *Stream) read() (drengine.Token, error) {
	if s.tokens == nil {
		return drengine.Token{}, io.ErrUnexpectedEOF
	}
	t, err := s.tokens.Next()
	s.linesRead.Add(1)
	if err == io.EOF { //nolint:errorlint // an unwrapped EOF before Done
		err = io.ErrUnexpectedEOF
	}
	return t, err
}

// accept checks a token from an engine against the tokens already delivered. It
// returns true for a token to deliver, false without an error for one to skip,
// and an error if the stream of the engine is wrong and must be abandoned.
func (s *Stream) accept(token drengine.Token) (drengine.Token, bool, error) {
	next := len(s.delivered)
	if token.Done {
		if n := token.CompletionTokens; n != 0 && n != next && n != next-s.prefixTokens {
			return token, false, fmt.Errorf("engine counted %d tokens, %d were delivered", n, next)
		}
		s.finish()
		token.Index, token.CompletionTokens = next, next
		return token, true, nil
	}
	if token.Index == next {
		s.delivered = append(s.delivered, token.Text)
		s.resumes = 0
		return token, true, nil
	}
	if token.Index >= 0 && token.Index < next && s.delivered[token.Index] == token.Text {
		return token, false, nil // delivered already, before the stream was resumed
	}
	return token, false, fmt.Errorf("token index %d does not continue the stream at %d", token.Index, next)
}

// finish ends the stream after its final line.
func (s *Stream) finish() {
	s.done = true
	s.router.ejector.Success(s.runner.Address)
	s.releaseRunner(true)
}

// releaseRunner closes the current stream, ends its run and frees its dispatch
// slot. It does nothing if there is no current run.
func (s *Stream) releaseRunner(success bool) {
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

// continueStream continues a broken stream: on the same engine if it still has
// the generation, otherwise by a new dispatch.
func (s *Stream) continueStream(cause error) error {
	s.record(drtimeline.StreamBroken, fmt.Sprintf("error=%q", cause))
	if s.resumes < maxResumes {
		s.resumes++
		if s.resume() == nil {
			return nil
		}
		if endErr := s.endError(); endErr != nil {
			return endErr
		}
	}
	if err := s.abandonAttempt(cause); err != nil {
		return err
	}
	return s.dispatch()
}

// resume reopens the stream of the current generation on the same engine. The
// timeout covers only the opening.
func (s *Stream) resume() error {
	s.cancel()
	return s.connect(s.run, func(ctx context.Context) (drengine.TokenStream, error) {
		timeoutCtx, disarm, cancel := withDisarmableTimeout(ctx, s.router.Clock, probeTimeout)
		tokens, err := s.engine.Resume(timeoutCtx, s.generationID, len(s.delivered))
		if err != nil {
			cancel()
			return nil, err
		}
		disarm()
		return tokens, nil
	})
}

// abandonAttempt ends the attempt on a runner that failed with cause. It counts
// the failure, checks whether the engine crashed, and frees the dispatch slot.
// It returns an error if the request must not be tried elsewhere.
func (s *Stream) abandonAttempt(cause error) error {
	s.failedInstances[s.runner.Address] = s.runner.Instance
	// An engine that refuses for lack of capacity has not failed.
	overloaded := drerror.VerdictOf(cause) == drerror.NotRun && drerror.ReasonOf(cause) == drerror.NoCapacity
	if !overloaded {
		if ejection := s.router.ejector.Failure(s.runner.Address); ejection > 0 {
			s.record(drtimeline.BackendEjected, "for="+ejection.String())
		}
	}
	if drerror.VerdictOf(cause) != drerror.NotRun && s.backendCrashed() {
		s.router.prefixes.drop(s.runner.Address)
		s.record(drtimeline.BackendCrashed, "instance="+s.runner.Instance)
		s.run.Crash(s.ctx)
	} else if drerror.VerdictOf(cause) != drerror.NotRun {
		s.cancelGeneration()
	}
	s.releaseRunner(false)
	if err := s.router.Suspects.Check(s.fingerprint); err != nil {
		return err
	}
	if s.attempts >= maxAttempts || !s.allowRetry() {
		if _, ok := cause.(*drerror.Error); ok && !s.dispatched { //nolint:errorlint // keep the engine's own reason
			if drerror.ReasonOf(cause) == drerror.UnknownModel {
				// The engine lacks the model, for example since an eviction,
				// but the model exists.
				return drerror.Wrap(drerror.NotRun, drerror.NoCapacity, cause, "attempt limit or retry budget used up")
			}
			return cause
		}
		verdict := drerror.NotRun
		if s.dispatched {
			verdict = drerror.MayHaveRun
		}
		return drerror.Wrap(verdict, drerror.BackendFailed, cause, "attempt limit or retry budget used up")
	}
	s.record(drtimeline.GenerationRetried, fmt.Sprintf("delivered=%d", len(s.delivered)))
	return nil
}

// allowRetry takes a retry from the budget, and reports false if none is left.
func (s *Stream) allowRetry() bool {
	ok := s.router.budget.Retry()
	if !ok {
		s.record(drtimeline.RetryRefused, "")
	}
	return ok
}

// backendCrashed reports whether the engine process that had the generation is
// gone although it was not draining. An engine that does not respond counts as
// gone.
func (s *Stream) backendCrashed() bool {
	for _, x := range s.router.Residency.Runners(s.request.Model, s.request.Adapter) {
		if x.Address == s.runner.Address && x.Leaving {
			return false
		}
	}
	state, err := s.probe(context.WithoutCancel(s.ctx), s.engine)
	if err != nil {
		return true
	}
	return !state.Leaving && s.runner.Instance != "" && state.Instance != s.runner.Instance
}

// cancelGeneration tells the engine to stop the generation. Errors are ignored,
// since the engine may be gone.
func (s *Stream) cancelGeneration() {
	ctx, _, cancel := withDisarmableTimeout(context.WithoutCancel(s.ctx), s.router.Clock, probeTimeout)
	defer cancel()
	_ = s.engine.Cancel(ctx, s.generationID)
}

// Close ends the stream and cancels the generation unless it is complete. It
// always returns nil.
func (s *Stream) Close() error {
	s.done = true
	if s.run != nil {
		s.cancel()
		s.cancelGeneration()
		s.releaseRunner(false)
	}
	return nil
}

// record records an event of the request that concerns the current runner.
func (s *Stream) record(name, detail string) {
	s.recordEvent(drtimeline.Event{Name: name, Detail: detail}, s.runner.Address)
}

// recordEvent adds the request and the address of the backend server, empty if
// none is concerned, to the event and records it.
func (s *Stream) recordEvent(event drtimeline.Event, backend string) {
	event.RequestID, event.Account, event.Model, event.Backend = s.request.RequestID, s.request.Account, s.request.Model, backend
	if a := s.request.Adapter; a != "" {
		event.Detail = strings.TrimSpace(event.Detail + " adapter=" + a)
	}
	s.router.Recorder.Record(event)
}
