package drserve

import (
	"context"
	"sync"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drplacement"
)

// engineClients holds one client for each engine address. The engines that it gives
// to the router protect a model from eviction while a generation uses it. It is
// safe for concurrent use.
type engineClients struct {
	clock     drclock.Clock
	residency *drplacement.Residency

	mu                  sync.Mutex
	clients             map[string]drengine.Engine
	runnerNameByAddress map[string]string
}

func newEngineClients(clock drclock.Clock) *engineClients {
	return &engineClients{clock: clock, clients: make(map[string]drengine.Engine), runnerNameByAddress: make(map[string]string)}
}

// client returns the client of an engine, without the protection from eviction.
func (e *engineClients) client(address string) drengine.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.clients[address]
	if c == nil {
		c = drengine.NewHTTP(drengine.HTTPConfig{Address: address, Clock: e.clock})
		e.clients[address] = c
	}
	return c
}

// dial returns the client of a runner's engine to the placement, which loads and
// unloads models with it.
func (e *engineClients) dial(backend drmember.Backend) drengine.Engine {
	e.setRunnerName(backend.Address, backend.VM)
	return e.client(backend.Address)
}

// setRunnerName records which runner an engine address belongs to.
func (e *engineClients) setRunnerName(address, runner string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runnerNameByAddress[address] = runner
}

// Engine implements drrouter.Engines. The returned engine marks models as used.
func (e *engineClients) Engine(address string) drengine.Engine {
	c := e.client(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	return trackedEngine{Engine: c, residency: e.residency, runner: e.runnerNameByAddress[address]}
}

// trackedEngine marks a model as used on its runner while a token stream is open, so
// that the model is not evicted.
type trackedEngine struct {
	drengine.Engine
	residency *drplacement.Residency
	runner    string
}

// Generate implements drengine.Engine.
func (t trackedEngine) Generate(ctx context.Context, generation drengine.Generation) (drengine.TokenStream, error) {
	release := t.residency.Use(t.runner, generation.Model, generation.Adapter)
	stream, err := t.Engine.Generate(ctx, generation)
	if err != nil {
		release()
		return nil, err
	}
	return trackedStream{TokenStream: stream, release: release}, nil
}

// trackedStream calls release when it is closed.
type trackedStream struct {
	drengine.TokenStream
	release func()
}

// Close implements drengine.TokenStream.
func (s trackedStream) Close() error {
	s.release()
	return s.TokenStream.Close()
}
