package drmeasure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drload"
)

const (
	pathAccount      = "passasjer-app"
	pathModel        = "snorrute-passenger-nb" // has a minimum of replicas, so it stays loaded
	pathRequests     = 400                     // of each kind and round
	pathWorkers      = 8
	longAnswerTokens = 200 // output tokens; a short answer has 1
	pathRounds       = 3   // direct and routed requests alternate, so that noise affects both
)

// costSample holds the cost of one kind of request: latencies, and the processor time of
// all of them together.
type costSample struct {
	latencies []time.Duration
	cpu       time.Duration
}

// p50Micros returns the median latency in microseconds. It sorts latencies.
func (s costSample) p50Micros() float64 {
	slices.Sort(s.latencies)
	return float64(s.latencies[len(s.latencies)/2].Microseconds())
}

// cpuMicrosPerRequest returns the mean processor time of a request in microseconds.
func (s costSample) cpuMicrosPerRequest() float64 {
	return float64(s.cpu.Microseconds()) / float64(len(s.latencies))
}

// runPath compares requests through an entry VM (routed) with direct calls of the engine.
// The processor time is that of this process, so in both cases it includes client and
// engine, and the difference is the cost of the path through the entry VM.
func runPath(ctx context.Context, seed uint64) ([]Figure, error) {
	sys, err := newSystem(ctx, systemConfig{entryVMs: smallClusterVMs, tokenInterval: -1, settleDelay: settleTime})
	if err != nil {
		return nil, err
	}
	defer sys.close()
	if _, err := sys.runLoad(ctx, seed, shortLoadDuration, 0, drload.Account{Name: pathAccount, IdleModels: []string{pathModel}, MaxTokens: 1}); err != nil {
		return nil, err
	}
	// Raise the limit, so that the figures contain the cost of the path and no waits
	// for the account's tokens.
	if err := sys.raiseLimits(ctx, "passengers"); err != nil {
		return nil, err
	}
	engine, err := loadedEngine(sys.platform)
	if err != nil {
		return nil, err
	}
	caller := drload.NewCaller(drload.Account{Name: pathAccount, Key: keyPrefix + pathAccount, PromptBytes: 200})
	var lastID atomic.Int64
	direct := func(tokens int) error { return generate(ctx, engine, lastID.Add(1), tokens) }
	routed := func(tokens int) error { return caller.Ask(sys.targets[0], pathModel, tokens) }
	var directShort, routedShort, directLong, routedLong costSample
	for range pathRounds {
		for _, x := range []struct {
			sample *costSample
			ask    func(int) error
			tokens int
		}{{&directShort, direct, 1}, {&routedShort, routed, 1}, {&directLong, direct, longAnswerTokens}, {&routedLong, routed, longAnswerTokens}} {
			if err := x.sample.run(x.ask, x.tokens); err != nil {
				return nil, err
			}
		}
	}
	addedCPU := routedShort.cpuMicrosPerRequest() - directShort.cpuMicrosPerRequest()
	addedCPUPerToken := (routedLong.cpuMicrosPerRequest() - directLong.cpuMicrosPerRequest() - addedCPU) / (longAnswerTokens - 1)
	addedLatencyPerToken := (routedLong.p50Micros() - routedShort.p50Micros() - directLong.p50Micros() + directShort.p50Micros()) / (longAnswerTokens - 1)
	return []Figure{
		{Policy: "direct", Name: "request of 1 token p50", Value: directShort.p50Micros(), Unit: "us"},
		{Policy: productPolicy, Name: "request of 1 token p50", Value: routedShort.p50Micros(), Unit: "us"},
		{Policy: productPolicy, Name: "request latency through/direct", Value: routedShort.p50Micros() / directShort.p50Micros(), Unit: "ratio"},
		{Policy: productPolicy, Name: "long answer latency through/direct", Value: routedLong.p50Micros() / directLong.p50Micros(), Unit: "ratio"},
		{Policy: productPolicy, Name: "added latency per token", Value: addedLatencyPerToken, Unit: "us"},
		{Policy: "direct", Name: "processor time per request, client and engine", Value: directShort.cpuMicrosPerRequest(), Unit: "us"},
		{Policy: productPolicy, Name: "processor time per request through/direct", Value: routedShort.cpuMicrosPerRequest() / directShort.cpuMicrosPerRequest(), Unit: "ratio"},
		{Policy: productPolicy, Name: "added processor time per request", Value: addedCPU, Unit: "us"},
		{Policy: productPolicy, Name: "added processor time per token", Value: addedCPUPerToken, Unit: "us"},
		{Policy: productPolicy, Name: "requests of 1 token per second and core", Value: 1e6 / addedCPU, Unit: "1/s"},
	}, nil
}

// loadedEngine returns a client of an engine that has loaded pathModel.
func loadedEngine(platform *drdemo.Platform) (drengine.Engine, error) {
	for _, e := range platform.Engines {
		for _, r := range e.Replicas() {
			if r.Model == pathModel && r.State == drengine.Loaded {
				return drengine.NewHTTP(drengine.HTTPConfig{Address: e.Address(), Clock: clock}), nil
			}
		}
	}
	return nil, fmt.Errorf("no engine has loaded model %q", pathModel)
}

// generate runs one generation of pathModel at the engine and reads the whole answer.
func generate(ctx context.Context, engine drengine.Engine, id int64, tokens int) error {
	stream, err := engine.Generate(ctx, drengine.Generation{
		ID: fmt.Sprint("direct-", id), Model: pathModel, Prompt: drload.Prompt(int(id), 200), MaxTokens: tokens,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) || err == nil && token.Done {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// run calls ask pathRequests times from pathWorkers concurrent workers and adds the
// latencies and the processor time to the sample. It returns the errors of all calls.
func (s *costSample) run(ask func(int) error, tokens int) error {
	var mu sync.Mutex
	var errs error
	var workers sync.WaitGroup
	cpuBefore := processorTime()
	for range pathWorkers {
		workers.Go(func() {
			for range pathRequests / pathWorkers {
				start := time.Now()
				err := ask(tokens)
				latency := time.Since(start)
				mu.Lock()
				s.latencies = append(s.latencies, latency)
				errs = errors.Join(errs, err)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	s.cpu += processorTime() - cpuBefore
	return errs
}

// processorTime returns the processor time, user and system, that this process has used on
// all cores, or 0 if the system does not report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
