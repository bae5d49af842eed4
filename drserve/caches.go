package drserve

import (
	"context"
	"time"
)

// cacheScanPeriod is how often followPrefixCaches looks for new engines.
const cacheScanPeriod = time.Second

// followPrefixCaches reads the prefix cache events of every engine on which a model
// that this VM has requests for is loaded. It keeps reading from an engine that is
// no longer used, until the VM stops or the engine fails.
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
