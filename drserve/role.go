package drserve

import (
	"context"
	"runtime/pprof"
)

// roleLabel is the label in CPU profiles that says which part of an entry VM a
// goroutine belongs to. Goroutines inherit it from the one that starts them.
const roleLabel = "role"

// spawn calls run in a new goroutine that carries the role's profile label. Close waits
// for it.
func (v *VM) spawn(ctx context.Context, role string, run func(context.Context)) {
	v.goroutines.Go(func() { withRole(ctx, role, run) })
}

// withRole calls run in the current goroutine with the role's profile label.
func withRole(ctx context.Context, role string, run func(context.Context)) {
	pprof.Do(ctx, pprof.Labels(roleLabel, role), run)
}
