package drcrash

import (
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Tally adds up the crashes that all VMs have seen. It is safe for concurrent use.
type Tally struct {
	clock drclock.Clock

	mu       sync.Mutex
	requests records
	parts    records
	blocks   blocks
	// revision grows when blocks are added or lifted.
	revision uint64
}

// NewTally returns a Tally without crashes.
func NewTally(c drclock.Clock) *Tally {
	return &Tally{clock: c, requests: make(records), parts: make(records), blocks: make(blocks)}
}

// Blocked is a cause for which requests are refused from now on.
type Blocked struct {
	Cause drrequest.Fingerprint
	// Part is set if the cause is a part of prompts, not a single request.
	Part bool
	// Crashes is the number of runners that it has crashed.
	Crashes int
	// Span is the time until one VM may try such a request.
	Span time.Duration
}

// Add adds the report of a VM and returns the causes for which requests are to be
// refused from now on.
func (t *Tally) Add(vm string, report Report) []Blocked {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.dropExpired(now)
	if t.blocks.adopt(report.Blocks, now) {
		t.revision++
	}
	for _, c := range report.Crashes {
		t.addCrash(c, now)
	}
	for _, cause := range report.Refused {
		if b, known := t.blocks[cause]; known {
			b.recordRefusal(vm, now)
		}
	}
	for _, cause := range report.Cleared {
		t.requests.excuse(cause)
		t.parts.excuse(cause)
		t.unblock(cause)
	}
	return t.decide(now)
}

// Revision returns the revision of the present verdict. It grows when blocks are added
// or lifted, but not when one just ends: VMs know when.
func (t *Tally) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// unblockExplained lifts a block whose crashes have found a better explanation. That of
// a former controller stays: this one may have heard of a part of the crashes only.
func (t *Tally) unblockExplained(cause drrequest.Fingerprint) {
	if b, blocked := t.blocks[cause]; blocked && !b.adopted {
		t.unblock(cause)
	}
}

func (t *Tally) unblock(cause drrequest.Fingerprint) {
	if _, blocked := t.blocks[cause]; blocked {
		t.revision++
	}
	delete(t.blocks, cause)
}

func (t *Tally) block(cause drrequest.Fingerprint, span time.Duration, now time.Time) bool {
	added := t.blocks.add(cause, span, now)
	if added {
		t.revision++
	}
	return added
}

// dropExpired drops old crashes, and blocks that nobody has needed for a while together
// with the crashes that they rest on.
func (t *Tally) dropExpired(now time.Time) {
	t.requests.dropExpired(now)
	t.parts.dropExpired(now)
	for cause, b := range t.blocks {
		if !now.Before(b.liftAt()) {
			delete(t.blocks, cause)
			delete(t.requests, cause)
			delete(t.parts, cause)
		}
	}
}

// addCrash adds one crash to all of its possible causes.
func (t *Tally) addCrash(crash Crash, now time.Time) {
	t.requests.add(crash.Request, crash, 0, now)
	for depth, part := range crash.Parts {
		t.parts.add(part, crash, depth, now)
	}
	for _, cause := range crash.Causes() {
		if b, known := t.blocks[cause]; known {
			b.recordCrash(crash.Runner, now)
		}
	}
}

// Rules for parts of prompts and for single requests.
var (
	partRule    = rule{minRequests: minPartRequests, wait: vouchTime}
	requestRule = rule{minRequests: 1}
)

// decide blocks the parts of prompts that best explain the crashes, and the requests
// that best explain the others. It lifts the blocks whose crashes have found a better
// explanation.
func (t *Tally) decide(now time.Time) []Blocked {
	if len(t.parts) == 0 && len(t.requests) == 0 {
		return nil
	}
	parts := t.parts.explain(partRule, nil, t.blocks, now)
	requests := t.requests.explain(requestRule, parts.runners, t.blocks, now)
	return append(t.apply(t.parts, parts, true, now), t.apply(t.requests, requests, false, now)...)
}

// apply blocks the causes of an explanation and lifts the blocks of what they explain.
func (t *Tally) apply(r records, e explanation, parts bool, now time.Time) (blocked []Blocked) {
	for cause, x := range r {
		span, isCause := e.spans[cause]
		switch {
		case isCause && t.block(cause, span, now):
			blocked = append(blocked, Blocked{Cause: cause, Part: parts, Crashes: len(x.runners), Span: span})
		case !isCause && len(x.runners) >= MaxCrashes && x.unexplained(e.runners) < MaxCrashes:
			t.unblockExplained(cause)
		}
	}
	return blocked
}

// VerdictFor returns what a VM is to be told. A try of a blocked request is granted
// to a VM only once.
func (t *Tally) VerdictFor(vm string) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.dropExpired(now)
	return Verdict{Revision: t.revision, Blocks: t.blocks.listFor(vm, now), Suspects: append(t.parts.suspects(), t.requests.suspects()...)}
}
