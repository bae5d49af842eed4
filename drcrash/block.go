package drcrash

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

const (
	// firstSpan is how long requests are refused before one VM may try one again,
	// spanFactor the growth of that time with each try that crashes a runner, and
	// maxSpan its bound. So requests that go on coming crash three more runners in
	// their first hour and a half, and then one a day.
	firstSpan = time.Minute
	// ambiguousSpan replaces firstSpan for parts of prompts that have crashed exactly
	// the same runners, so that only a try can tell which of them is the cause.
	ambiguousSpan = 5 * time.Second
	spanFactor    = 8
	maxSpan       = 24 * time.Hour
)

// Block says that requests are refused because they have crashed their runners.
type Block struct {
	// Cause is the fingerprint of a request, or of a part of the requests' prompts.
	Cause drrequest.Fingerprint
	// Left is the time until the block is lifted, unless VMs go on refusing such
	// requests.
	Left time.Duration
	// Span is the time for which such requests are refused between two tries.
	Span time.Duration
	// Probe lets the VM that receives the block run one such request.
	Probe bool
}

// block is a Block of the controller.
type block struct {
	// retryAt is when one VM may try such a request again.
	retryAt time.Time
	span    time.Duration
	// prober is the VM that may try one, "" before retryAt. probeSent is set once
	// the VM has been told.
	prober    string
	probeSent bool
	// lastRunner is the runner that crashed last.
	lastRunner string
	// adopted is set if a former controller has decided it, whose evidence this one
	// may have in part only.
	adopted bool
}

// liftAt is when the block is lifted, unless VMs go on refusing such requests.
func (b *block) liftAt() time.Time { return b.retryAt.Add(b.span) }

// blocks holds the blocks by cause.
type blocks map[drrequest.Fingerprint]*block

// add blocks a cause, and returns false if it is blocked already.
func (b blocks) add(cause drrequest.Fingerprint, span time.Duration, now time.Time) bool {
	if _, known := b[cause]; known {
		return false
	}
	b[cause] = &block{retryAt: now.Add(span), span: span}
	return true
}

// compare returns 1 if only the first cause is blocked, -1 if only the second is, and otherwise 0.
func (b blocks) compare(first, second drrequest.Fingerprint) int {
	_, firstBlocked := b[first]
	_, secondBlocked := b[second]
	if firstBlocked == secondBlocked {
		return 0
	}
	if firstBlocked {
		return 1
	}
	return -1
}

// adopt adds the blocks that a VM has been told by a former controller, and reports whether
// any of them is new.
func (b blocks) adopt(known []Block, now time.Time) (added bool) {
	for _, k := range known {
		if _, ok := b[k.Cause]; !ok && len(b) < maxRecords {
			b[k.Cause] = &block{retryAt: now.Add(k.Left - k.Span), span: k.Span, adopted: true}
			added = true
		}
	}
	return added
}

// recordCrash extends a block after a further crash. If that ended a try, the time
// until the next one grows. Several VMs may report one crash.
func (b *block) recordCrash(runner string, now time.Time) {
	if runner == b.lastRunner {
		return
	}
	b.lastRunner = runner
	if b.prober != "" {
		b.span = min(b.span*spanFactor, maxSpan)
		b.prober, b.probeSent = "", false
	}
	b.retryAt = now.Add(b.span)
}

// recordRefusal lets a VM that has refused such a request try one, if it is time.
func (b *block) recordRefusal(vm string, now time.Time) {
	if now.Before(b.retryAt) {
		return
	}
	b.prober, b.probeSent, b.retryAt = vm, false, now.Add(b.span)
}

// listFor returns all blocks as they are to be told to a VM.
func (b blocks) listFor(vm string, now time.Time) []Block {
	var list []Block
	for cause, x := range b {
		probe := x.prober == vm && !x.probeSent
		x.probeSent = x.probeSent || probe
		list = append(list, Block{Cause: cause, Left: x.liftAt().Sub(now), Span: x.span, Probe: probe})
	}
	return list
}
