package drrouter

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// Runner is an engine on which a model is loaded, with its last report.
type Runner struct {
	VM      string
	Address string
	Zone    string
	// Instance changes when the engine process restarts.
	Instance string
	// Version is the version of the report that the load figures are from.
	Version  uint64
	Capacity int
	Running  int
	Waiting  int
	Leaving  bool
}

// Residency tells which runners have a model loaded.
type Residency interface {
	// Runners returns the runners on which the model, and the adapter unless
	// it is empty, are loaded.
	Runners(model, adapter string) []Runner
}

// Engines gives the client of the engine at an address.
type Engines interface {
	Engine(address string) drengine.Engine
}

// Waker has a model loaded.
type Waker interface {
	// Wake returns once the model and adapter are loaded on the returned
	// runner. Errors are *drerror.Error with NotRun.
	Wake(ctx context.Context, model, adapter string, deadline time.Time) (Runner, error)
}
