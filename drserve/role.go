package drserve

import (
	"context"
	"runtime/pprof"
)

// roleLabel is the label of processor profiles that names the part of an entry
// VM a goroutine belongs to. Goroutines inherit it.
const roleLabel = "role"

// spawn runs f on a goroutine of its own, which bears the role's label.
func (v *VM) spawn(ctx context.Context, role string, f func(context.Context)) {
	v.goroutines.Go(func() { withRole(ctx, role, f) })
}

func withRole(ctx context.Context, role string, f func(context.Context)) {
	pprof.Do(ctx, pprof.Labels(roleLabel, role), f)
}
