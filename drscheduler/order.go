// Package drscheduler plans which runner loads and unloads which models and
// adapters. It does no I/O: it computes plans from a snapshot of the fleet.
package drscheduler

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

//go:generate stringer -type=Operation,Outcome -linecomment

// Operation is the action that an order requests from a runner.
type Operation int

// Operations of an Order.
const (
	Load   Operation = iota // load
	Unload                  // unload
)

// Order tells a runner to load or unload a model or an adapter.
type Order struct {
	Operation Operation
	Model     string
	Adapter   string // "" for the model itself
	// After is the number of orders that the runner must have accepted before
	// this one. The runner refuses the order if its own count differs, so an
	// order that arrives late has no effect.
	After int
	// Holder is the name of the VM that holds the controller's lease.
	Holder string
	Fence  uint64 // fencing token of the controller's lease
}

// Outcome is the result of sending an order to a runner.
type Outcome int

// Outcomes of an order.
const (
	// Accepted: the runner carries out the order.
	Accepted Outcome = iota // accepted
	// Holds: a load had no effect, because the runner already holds the model
	// or adapter.
	Holds // holds
	// Conflicting: the runner carries out another order or its count of
	// accepted orders differs from Order.After.
	Conflicting // conflicting
	// Fenced: the sender's lease is no longer the newest. The runner has seen a
	// higher fencing token, or the sender itself found the lease lapsed.
	Fenced // fenced
	// OtherInstance: another runner or another incarnation of the runner has
	// the address.
	OtherInstance // other-instance
	// Leaving: the runner has said that it leaves. It may have carried out the order.
	Leaving // leaving
	// Rejected: the order was refused for another reason.
	Rejected // rejected
	// Unreachable: the runner did not receive the order.
	Unreachable // unreachable
	// Unknown: no response arrived; the runner may have accepted the order.
	Unknown // unknown
)

// AdapterKey identifies an adapter of a model.
type AdapterKey struct{ Model, Adapter string }

// Report is the state of a runner as returned by the runner itself.
type Report struct {
	Busy bool // the runner loads or unloads a model
	// Orders is the number of orders that the runner has accepted.
	Orders          int
	Started         int64 // start time that identifies the incarnation, 0 if not reported
	Leaving         bool  // the runner has said that it leaves
	Replicas        []drfleet.Replica
	LoadingAdapters []AdapterKey
	// InMemory and OnDisk name the models whose weights the runner has a local
	// copy of.
	InMemory []string
	OnDisk   []string
}

// Engines sends orders to runners and queries their state.
type Engines interface {
	// Order sends one order. The error gives the cause of an Outcome of
	// Unreachable, Unknown or Rejected.
	Order(ctx context.Context, r *drfleet.Runner, o Order) (Outcome, error)
	// Report queries a runner's state. The returned state is about 100 ms old.
	Report(ctx context.Context, r *drfleet.Runner) (Report, error)
}
