package drcrash

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Ledger holds the crashes and successes that one VM has seen, and which requests the
// controller has told it to refuse. It is safe for concurrent use.
type Ledger struct {
	clock drclock.Clock

	mu      sync.Mutex
	crashes []recentCrash // of the last recordTTL, the oldest first
	// parts and requests are what has succeeded lately.
	parts, requests successes
	// blocked and suspects are what the controller of a term has told, in its
	// verdict of a revision.
	term     uint64
	revision uint64
	blocked  map[drrequest.Fingerprint]*knownBlock
	suspects map[drrequest.Fingerprint]struct{}
	// unreported, cleared and refused are what the controller has not been told
	// yet. They are bounded, because reports may fail for long.
	unreported []Crash
	cleared    []drrequest.Fingerprint
	refused    map[drrequest.Fingerprint]struct{}
	// news holds a token if there is a crash to report.
	news chan struct{}
}

type recentCrash struct {
	Crash
	at time.Time
}

// knownBlock is a block that the controller has told the VM.
type knownBlock struct {
	liftAt time.Time
	span   time.Duration
	probe  bool // the next such request may run
}

// NewLedger returns a Ledger without crashes.
func NewLedger(c drclock.Clock) *Ledger {
	return &Ledger{
		clock: c, parts: newSuccesses(partSuccessTTL), requests: newSuccesses(requestSuccessTTL),
		blocked: make(map[drrequest.Fingerprint]*knownBlock), refused: make(map[drrequest.Fingerprint]struct{}), news: make(chan struct{}, 1),
	}
}

// News returns a channel that receives a value when there is a crash to report. It
// buffers one value.
func (l *Ledger) News() <-chan struct{} { return l.news }

// signalNews puts a token into news, unless it holds one.
func (l *Ledger) signalNews() {
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// Empty reports whether no crash is remembered and nothing is blocked, so that no
// request needs to be looked up.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes) == 0 && len(l.blocked) == 0
}

// RecordCrash records that a runner ended while it ran a request.
func (l *Ledger) RecordCrash(crash Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(trimmed(l.crashes), recentCrash{crash, l.clock.Now()})
	l.unreported = append(trimmed(l.unreported), crash)
	l.signalNews()
}

// RecordServed records that a request has succeeded. The controller is told if it has
// crashed a runner before, or if it or one of its parts is suspected or blocked.
func (l *Ledger) RecordServed(served Identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.requests.add(served.Request, now)
	for _, p := range served.Parts {
		l.parts.add(p, now)
	}
	crashed := l.forgetCrashes(served.Request)
	for _, cause := range served.Causes() {
		_, suspected := l.suspects[cause]
		if suspected || l.blocked[cause] != nil || crashed && cause == served.Request {
			l.clear(cause)
		}
	}
}

// forgetCrashes drops the crashes of a request, and returns false if there are none.
// The caller holds mu.
func (l *Ledger) forgetCrashes(request drrequest.Fingerprint) bool {
	known := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c recentCrash) bool { return c.Request == request })
	l.unreported = slices.DeleteFunc(l.unreported, func(c Crash) bool { return c.Request == request })
	return len(l.crashes) < known
}

// clear tells the controller that a cause is none. The caller holds mu.
func (l *Ledger) clear(cause drrequest.Fingerprint) {
	delete(l.blocked, cause)
	l.cleared = append(trimmed(l.cleared), cause)
}

// Blocked returns the cause for which the controller has told this VM to refuse a
// request, and false if there is none. A VM does not decide that itself: requests
// with the same cause may have succeeded on another.
func (l *Ledger) Blocked(request Identity) (cause drrequest.Fingerprint, blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cause := range request.Causes() {
		if l.block(cause) != nil {
			return cause, true
		}
	}
	return cause, false
}

// block returns the block of a cause, nil if it has none. The caller holds mu.
func (l *Ledger) block(cause drrequest.Fingerprint) *knownBlock {
	if b := l.blocked[cause]; b != nil && l.clock.Now().Before(b.liftAt) {
		return b
	}
	return nil
}

// Refuses reports whether a request that has arrived must be refused, and counts it
// as refused then. A blocked request may run nevertheless if the controller has let
// this VM try it.
func (l *Ledger) Refuses(request Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var blocks []*knownBlock
	for _, cause := range request.Causes() {
		if b := l.block(cause); b != nil {
			blocks = append(blocks, b)
		}
	}
	if !slices.ContainsFunc(blocks, func(b *knownBlock) bool { return !b.probe }) {
		for _, b := range blocks {
			b.probe = false
		}
		return false
	}
	for _, cause := range request.Causes() {
		if l.block(cause) != nil {
			l.refused[cause] = struct{}{}
		}
	}
	return true
}

// TakeReport returns what the controller has not been told yet, or all that this VM
// knows for a controller that may know nothing.
func (l *Ledger) TakeReport(all bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.dropExpired(now)
	report := Report{Crashes: l.unreported, Cleared: l.cleared, Refused: slices.Collect(maps.Keys(l.refused))}
	l.unreported, l.cleared = nil, nil
	clear(l.refused)
	if !all {
		return report
	}
	report.Crashes = nil
	for _, c := range l.crashes {
		report.Crashes = append(report.Crashes, c.Crash)
	}
	for cause, b := range l.blocked {
		if now.Before(b.liftAt) {
			report.Blocks = append(report.Blocks, Block{Cause: cause, Left: b.liftAt.Sub(now), Span: b.span})
		}
	}
	return report
}

// Requeue puts back what TakeReport has returned, because the controller may not have
// been told.
func (l *Ledger) Requeue(report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range report.Crashes {
		l.unreported = append(trimmed(l.unreported), c)
	}
	l.cleared = append(trimmed(l.cleared), report.Cleared...)
	for _, cause := range report.Refused {
		l.refused[cause] = struct{}{}
	}
}

// Revision returns the revision of the last verdict.
func (l *Ledger) Revision() uint64 {
	_, revision := l.Position()
	return revision
}

// Position returns the term and the revision of the last verdict, 0 if there was none.
func (l *Ledger) Position() (term, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.revision
}

// dropExpired forgets crashes of recordTTL ago and old successes. The caller holds mu.
func (l *Ledger) dropExpired(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c recentCrash) bool { return now.Sub(c.at) > recordTTL })
	l.parts.dropExpired(now)
	l.requests.dropExpired(now)
}

// SetVerdict replaces what the controller has told this VM, unless the verdict is older.
// The controller is told of the suspects with which requests have succeeded here.
func (l *Ledger) SetVerdict(verdict Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if verdict.Term < l.term || verdict.Term == l.term && verdict.Revision < l.revision {
		return
	}
	l.term, l.revision = verdict.Term, verdict.Revision
	now, former := l.clock.Now(), l.blocked
	l.blocked = make(map[drrequest.Fingerprint]*knownBlock, len(verdict.Blocks))
	for _, b := range verdict.Blocks {
		mayProbe := b.Probe || former[b.Cause] != nil && former[b.Cause].probe
		l.blocked[b.Cause] = &knownBlock{liftAt: now.Add(b.Left), span: b.Span, probe: mayProbe}
	}
	l.suspects = make(map[drrequest.Fingerprint]struct{}, len(verdict.Suspects))
	for _, s := range verdict.Suspects {
		l.suspects[s] = struct{}{}
		if l.parts.has(s, now) || l.requests.has(s, now) {
			l.clear(s)
		}
	}
}
