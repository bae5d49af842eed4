package drserve

import (
	"context"
	"time"
)

// cacheScanPeriod is how often followPrefixCaches looks for new engines.
const cacheScanPeriod = time.Second

// followPrefixCaches reads the prefix cache events of every engine on which a model
// is loaded that had a request on this VM. It keeps reading from each engine, also
// from one that is no longer used or fails, until the VM stops.
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
