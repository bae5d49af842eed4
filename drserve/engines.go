package drserve

import (
	"context"
	"sync"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drplacement"
)

// engines keeps one client for each engine address. Generations protect their
// model from eviction while they run.
type engines struct {
	clock     drclock.Clock
	residency *drplacement.Residency

	mu      sync.Mutex
	clients map[string]drengine.Engine
	runners map[string]string // runner name by address
}

func newEngines(c drclock.Clock) *engines {
	return &engines{clock: c, clients: make(map[string]drengine.Engine), runners: make(map[string]string)}
}

// client returns the plain client of an engine.
func (e *engines) client(address string) drengine.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.clients[address]
	if c == nil {
		c = drengine.NewHTTP(drengine.HTTPConfig{Address: address, Clock: e.clock})
		e.clients[address] = c
	}
	return c
}

// dial returns the client of a runner's engine.
func (e *engines) dial(b drmember.Backend) drengine.Engine {
	e.name(b.Address, b.VM)
	return e.client(b.Address)
}

// name notes which runner an address belongs to.
func (e *engines) name(address, runner string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runners[address] = runner
}

// Engine implements drrouter.Engines.
func (e *engines) Engine(address string) drengine.Engine {
	c := e.client(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	return usedEngine{Engine: c, residency: e.residency, runner: e.runners[address]}
}

// usedEngine reports the use of a model for as long as a stream is open.
type usedEngine struct {
	drengine.Engine
	residency *drplacement.Residency
	runner    string
}

// Generate implements drengine.Engine.
func (u usedEngine) Generate(ctx context.Context, g drengine.Generation) (drengine.TokenStream, error) {
	done := u.residency.Use(u.runner, g.Model, g.Adapter)
	s, err := u.Engine.Generate(ctx, g)
	if err != nil {
		done()
		return nil, err
	}
	return usedStream{TokenStream: s, done: done}, nil
}

type usedStream struct {
	drengine.TokenStream
	done func()
}

// Close implements drengine.TokenStream.
func (s usedStream) Close() error {
	s.done()
	return s.TokenStream.Close()
}
