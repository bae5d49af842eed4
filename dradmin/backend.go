// Package dradmin is the operators' HTTP interface of an entry VM: health,
// metrics, status, configuration changes and the time line.
package dradmin

import (
	"context"
	"io"

	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Backend is what the admin server reports on and acts through.
type Backend interface {
	// Ready returns whether callers should be sent here, and why not.
	Ready() (ready bool, reason string)
	WriteMetrics(w io.Writer) error
	Status() Status
	// Submit appends a change and waits for its result.
	Submit(ctx context.Context, change Change) (ChangeResult, error)
	Objects() (Objects, error)
	InForce(ctx context.Context) InForce
	// Timeline collects the selected events of all live VMs; the second
	// result names the VMs that did not answer.
	Timeline(ctx context.Context, filter drtimeline.Filter) (events []drtimeline.Event, missing []string)
}
