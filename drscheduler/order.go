// Package drscheduler decides which runner holds which models and adapters. It does
// no input or output.
package drscheduler

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

//go:generate stringer -type=Operation,Outcome -linecomment

// Operation is what an order asks of a runner.
type Operation int

// Operations.
const (
	Load   Operation = iota // load
	Unload                  // unload
)

// Order is one order to a runner.
type Order struct {
	Operation Operation
	Model     string
	Adapter   string // "" for the model itself
	// After is the count of accepted orders at which the order applies, so
	// that an order that is carried out late has no effect.
	After  int
	Holder string
	Fence  uint64 // the fencing token of the controller's lease
}

// Outcome is a runner's response to an order.
type Outcome int

// Outcomes of orders.
const (
	Accepted      Outcome = iota // accepted
	Holds                        // holds
	Conflicting                  // conflicting
	Fenced                       // fenced
	OtherInstance                // other-instance
	Rejected                     // rejected
	Unreachable                  // unreachable
	Unknown                      // unknown
)

// AdapterKey is an adapter that is on its way to a runner.
type AdapterKey struct{ Model, Adapter string }

// Report is a runner's description of its state on request.
type Report struct {
	Busy            bool // an order of a model is carried out
	Orders          int
	Started         int64 // 0 if the runner did not say
	Replicas        []drfleet.Replica
	LoadingAdapters []AdapterKey
	InMemory        []string
	OnDisk          []string
}

// Engines sends orders to runners.
type Engines interface {
	// Order sends one order. The error explains an Outcome of Unreachable,
	// Unknown or Rejected.
	Order(ctx context.Context, r *drfleet.Runner, o Order) (Outcome, error)
	// Report asks for a runner's state, which is some 100 ms old.
	Report(ctx context.Context, r *drfleet.Runner) (Report, error)
}
