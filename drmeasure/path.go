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
	pathAccount  = "passasjer-app"
	pathModel    = "snorrute-passenger-nb" // kept loaded
	pathRequests = 400
	pathWorkers  = 8
	pathLong     = 200 // output tokens of a long answer
	pathRounds   = 3   // alternating rounds, so that noise hits both sides
)

// sample is the cost of one side.
type sample struct {
	latencies []time.Duration
	cpu       time.Duration
}

func (s sample) p50() float64 {
	slices.Sort(s.latencies)
	return float64(s.latencies[len(s.latencies)/2].Microseconds())
}

func (s sample) cpuEach() float64 {
	return float64(s.cpu.Microseconds()) / float64(len(s.latencies))
}

// runPath compares requests through an entry VM with requests that call the
// engine directly. The processor time includes client and engine on both
// sides, so that the difference is the cost of the path.
func runPath(ctx context.Context, seed uint64) ([]Figure, error) {
	b, err := newBed(ctx, bedConfig{entryVMs: fewVMs, tokenInterval: -1, settle: settleTime})
	if err != nil {
		return nil, err
	}
	defer b.close()
	if _, err := b.load(ctx, seed, shortRun, 0, drload.Account{Name: pathAccount, IdleModels: []string{pathModel}, MaxTokens: 1}); err != nil {
		return nil, err
	}
	// The cost of the path is to be measured, not the limit of the account.
	if err := b.liftLimits(ctx, "passengers"); err != nil {
		return nil, err
	}
	engine, err := loadedEngine(b.platform)
	if err != nil {
		return nil, err
	}
	caller := drload.NewCaller(drload.Account{Name: pathAccount, Key: keyPrefix + pathAccount, PromptBytes: 200})
	var n atomic.Int64
	direct := func(tokens int) error { return generate(ctx, engine, n.Add(1), tokens) }
	routed := func(tokens int) error { return caller.Ask(b.targets[0], pathModel, tokens) }
	var directShort, routedShort, directLong, routedLong sample
	for range pathRounds {
		for _, x := range []struct {
			into   *sample
			ask    func(int) error
			tokens int
		}{{&directShort, direct, 1}, {&routedShort, routed, 1}, {&directLong, direct, pathLong}, {&routedLong, routed, pathLong}} {
			if err := x.into.run(x.ask, x.tokens); err != nil {
				return nil, err
			}
		}
	}
	added := routedShort.cpuEach() - directShort.cpuEach()
	perToken := (routedLong.cpuEach() - directLong.cpuEach() - added) / (pathLong - 1)
	latency := (routedLong.p50() - routedShort.p50() - directLong.p50() + directShort.p50()) / (pathLong - 1)
	return []Figure{
		{Policy: "direct", Name: "request of 1 token p50", Value: directShort.p50(), Unit: "us"},
		{Policy: product, Name: "request of 1 token p50", Value: routedShort.p50(), Unit: "us"},
		{Policy: product, Name: "request latency through/direct", Value: routedShort.p50() / directShort.p50(), Unit: "ratio"},
		{Policy: product, Name: "long answer latency through/direct", Value: routedLong.p50() / directLong.p50(), Unit: "ratio"},
		{Policy: product, Name: "added latency per token", Value: latency, Unit: "us"},
		{Policy: "direct", Name: "processor time per request, client and engine", Value: directShort.cpuEach(), Unit: "us"},
		{Policy: product, Name: "processor time per request through/direct", Value: routedShort.cpuEach() / directShort.cpuEach(), Unit: "ratio"},
		{Policy: product, Name: "added processor time per request", Value: added, Unit: "us"},
		{Policy: product, Name: "added processor time per token", Value: perToken, Unit: "us"},
		{Policy: product, Name: "requests of 1 token per second and core", Value: 1e6 / added, Unit: "1/s"},
	}, nil
}

// loadedEngine returns the engine that holds pathModel.
func loadedEngine(p *drdemo.Platform) (drengine.Engine, error) {
	for _, e := range p.Engines {
		for _, r := range e.Replicas() {
			if r.Model == pathModel && r.State == drengine.Loaded {
				return drengine.NewHTTP(drengine.HTTPConfig{Address: e.Address(), Clock: clock}), nil
			}
		}
	}
	return nil, fmt.Errorf("no engine has loaded %q", pathModel)
}

func generate(ctx context.Context, e drengine.Engine, id int64, tokens int) error {
	s, err := e.Generate(ctx, drengine.Generation{
		ID: fmt.Sprint("direct-", id), Model: pathModel, Prompt: drload.Prompt(int(id), 200), MaxTokens: tokens,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) || err == nil && t.Done {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// run asks pathRequests times from pathWorkers workers and adds the cost.
func (s *sample) run(ask func(int) error, tokens int) error {
	var mu sync.Mutex
	var failed error
	var g sync.WaitGroup
	before := processorTime()
	for range pathWorkers {
		g.Go(func() {
			for range pathRequests / pathWorkers {
				start := time.Now()
				err := ask(tokens)
				took := time.Since(start)
				mu.Lock()
				s.latencies = append(s.latencies, took)
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	g.Wait()
	s.cpu += processorTime() - before
	return failed
}

// processorTime returns the time that this process has used on all cores.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
