package drcrash

import (
	"maps"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// blockTime is how long a request is refused after its last crash.
const blockTime = time.Minute

// Block says that a request is refused because it has crashed its runners.
type Block struct {
	Request drrequest.Fingerprint
	// Left is the time until the block is lifted.
	Left time.Duration
}

// blocks holds the times at which blocks are lifted by request.
type blocks map[drrequest.Fingerprint]time.Time

// adopt adds the blocks that a VM has been told by a former controller.
func (b blocks) adopt(known []Block, now time.Time) {
	for _, k := range known {
		if _, ok := b[k.Request]; !ok && len(b) < maxRecords {
			b[k.Request] = now.Add(k.Left)
		}
	}
}

// dropLifted drops the blocks that have been lifted.
func (b blocks) dropLifted(now time.Time) {
	maps.DeleteFunc(b, func(_ drrequest.Fingerprint, liftAt time.Time) bool { return !now.Before(liftAt) })
}

// list returns all blocks.
func (b blocks) list(now time.Time) []Block {
	var list []Block
	for request, liftAt := range b {
		list = append(list, Block{Request: request, Left: liftAt.Sub(now)})
	}
	return list
}
