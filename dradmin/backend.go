// Package dradmin provides the HTTP API of an entry VM for operators, and a client for
// it: health checks, metrics, status, configuration changes and the time line.
package dradmin

import (
	"context"
	"io"

	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Backend is the entry VM that an admin server reports on and changes. It is not a
// backend server in the sense of a server that runs models. Its methods must be safe
// for concurrent use.
type Backend interface {
	// Ready reports whether the balancer should send callers to this VM, with the
	// reason if it should not.
	Ready() (ready bool, reason string)
	// WriteMetrics writes the metrics of this VM in the Prometheus text format.
	WriteMetrics(w io.Writer) error
	// Status returns the status of this VM.
	Status() Status
	// Submit checks a configuration change, appends it to the log and waits until it
	// is accepted or rejected. An error means that the result is unknown, unless its
	// verdict is drerror.NotRun.
	Submit(ctx context.Context, change Change) (ChangeResult, error)
	// Objects returns the configuration that this VM uses.
	Objects() (Objects, error)
	// InForce asks each live VM for the offset of the configuration that it uses.
	InForce(ctx context.Context) InForce
	// Timeline collects the events of all live VMs that the filter selects, sorted
	// by stamp. The second result names the VMs that did not answer.
	Timeline(ctx context.Context, filter drtimeline.Filter) (events []drtimeline.Event, missing []string)
}
