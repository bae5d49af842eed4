package drserve

import (
	"context"
	"time"
)

// cacheScanPeriod is how often engines in use are looked for.
const cacheScanPeriod = time.Second

// followPrefixCaches follows the prefix cache events of the engines on which models
// in use here are loaded. An engine that is no longer used is followed until
// the VM stops or the engine fails.
func (v *VM) followPrefixCaches(ctx context.Context) {
	followed := make(map[string]bool)
	for v.Clock.Sleep(ctx, cacheScanPeriod) == nil {
		for _, m := range v.queues.models() {
			for _, r := range v.router.Residency.Runners(m, "") {
				if !followed[r.Address] {
					followed[r.Address] = true
					v.goroutines.Go(func() { v.router.FollowCache(ctx, r.Address) })
				}
			}
		}
	}
}
