package drserve

import (
	"context"
	"time"
)

// cacheScan is how often engines in use are looked for.
const cacheScan = time.Second

// followCaches follows the prefix cache events of the engines on which models
// in use here are loaded. An engine that is no longer used is followed until
// the VM stops or the engine fails.
func (v *VM) followCaches(ctx context.Context) {
	followed := make(map[string]bool)
	for v.Clock.Sleep(ctx, cacheScan) == nil {
		for _, m := range v.queues.models() {
			for _, r := range v.router.Residency.Runners(m, "") {
				if !followed[r.Address] {
					followed[r.Address] = true
					v.running.Go(func() { v.router.FollowCache(ctx, r.Address) })
				}
			}
		}
	}
}
