package drrouter

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// Runner is an engine on which a model is loaded, with the load from its last
// report.
type Runner struct {
	// VM is the name of the runner.
	VM      string
	Address string
	Zone    string
	// Instance changes when the engine process restarts.
	Instance string
	// Version is the version of the report that Capacity, Running and Waiting
	// are from.
	Version uint64
	// Capacity is the number of requests that the engine can run at once, its
	// batch size; 0 if unknown.
	Capacity int
	Running  int
	Waiting  int
	// Leaving says that the runner is draining and takes no new requests.
	Leaving bool
}

// Residency knows on which runners each model is loaded.
type Residency interface {
	// Runners returns the runners that have the model loaded, and the adapter
	// too unless it is empty.
	Runners(model, adapter string) []Runner
}

// Engines returns the client of the engine at an address.
type Engines interface {
	Engine(address string) drengine.Engine
}

// Waker loads models that no runner has loaded.
type Waker interface {
	// Wake returns once the model and adapter are loaded on the returned
	// runner. Errors are *drerror.Error with verdict NotRun.
	Wake(ctx context.Context, model, adapter string, deadline time.Time) (Runner, error)
}
