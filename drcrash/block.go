package drcrash

import (
	"maps"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

const (
	// firstSpan is how long a request is refused before one VM may try it again,
	// spanFactor the growth of that time with each try that crashes a runner, and
	// maxSpan its bound. So a request that goes on coming crashes three more runners
	// in its first hour and a half, and then one a day.
	firstSpan  = time.Minute
	spanFactor = 8
	maxSpan    = 24 * time.Hour
)

// Block says that a request is refused because it has crashed its runners.
type Block struct {
	Request drrequest.Fingerprint
	// Left is the time until the block is lifted, unless VMs go on refusing the
	// request.
	Left time.Duration
	// Span is the time for which the request is refused between two tries.
	Span time.Duration
	// Probe lets the VM that receives the block run the request once.
	Probe bool
}

// block is a Block of the controller.
type block struct {
	// retryAt is when one VM may try the request again.
	retryAt time.Time
	span    time.Duration
	// prober is the VM that may try the request, "" before retryAt. probeSent is
	// set once the VM has been told.
	prober    string
	probeSent bool
}

// liftAt is when the block is lifted, unless VMs go on refusing the request.
func (b *block) liftAt() time.Time { return b.retryAt.Add(b.span) }

// blocks holds the blocks by request.
type blocks map[drrequest.Fingerprint]*block

func (b blocks) add(request drrequest.Fingerprint, now time.Time) {
	b[request] = &block{retryAt: now.Add(firstSpan), span: firstSpan}
}

// adopt adds the blocks that a VM has been told by a former controller.
func (b blocks) adopt(known []Block, now time.Time) {
	for _, k := range known {
		if _, ok := b[k.Request]; !ok && len(b) < maxRecords {
			b[k.Request] = &block{retryAt: now.Add(k.Left - k.Span), span: k.Span}
		}
	}
}

// recordCrash extends a block after a further crash. If that ended a try, the time
// until the next one grows.
func (b *block) recordCrash(now time.Time) {
	if b.prober != "" {
		b.span = min(b.span*spanFactor, maxSpan)
		b.prober, b.probeSent = "", false
	}
	b.retryAt = now.Add(b.span)
}

// recordRefusal lets a VM that has refused the request try it, if it is time.
func (b *block) recordRefusal(vm string, now time.Time) {
	if now.Before(b.retryAt) {
		return
	}
	b.prober, b.probeSent, b.retryAt = vm, false, now.Add(b.span)
}

// dropLifted drops the blocks that nobody has needed for a while.
func (b blocks) dropLifted(now time.Time) {
	maps.DeleteFunc(b, func(_ drrequest.Fingerprint, x *block) bool { return !now.Before(x.liftAt()) })
}

// listFor returns all blocks as they are to be told to a VM.
func (b blocks) listFor(vm string, now time.Time) []Block {
	var list []Block
	for request, x := range b {
		probe := x.prober == vm && !x.probeSent
		x.probeSent = x.probeSent || probe
		list = append(list, Block{Request: request, Left: x.liftAt().Sub(now), Span: x.span, Probe: probe})
	}
	return list
}
