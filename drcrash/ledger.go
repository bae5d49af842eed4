package drcrash

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Ledger holds the crashes that one VM has seen, and which requests the controller
// has told it to refuse. It is safe for concurrent use.
type Ledger struct {
	clock drclock.Clock

	mu      sync.Mutex
	records records
	blocked map[drrequest.Fingerprint]*knownBlock // by the controller
	// unreported, cleared and refused are what the controller has not been told
	// yet. They are bounded, because reports may fail for long.
	unreported []Crash
	cleared    []drrequest.Fingerprint
	refused    map[drrequest.Fingerprint]struct{}
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
		clock: c, records: make(records), blocked: make(map[drrequest.Fingerprint]*knownBlock), refused: make(map[drrequest.Fingerprint]struct{}),
	}
}

// Empty reports whether no request is remembered, so that none needs to be looked
// up.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) == 0 && len(l.blocked) == 0
}

// Record records that a runner ended while it ran a request.
func (l *Ledger) Record(crash Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records.add(crash, l.clock.Now()) {
		l.unreported = append(trimmed(l.unreported), crash)
	}
}

// Clear forgets the crashes of a request that has succeeded.
func (l *Ledger) Clear(request drrequest.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, recorded := l.records[request]
	_, blocked := l.blocked[request]
	if !recorded && !blocked {
		return
	}
	delete(l.records, request)
	delete(l.blocked, request)
	l.unreported = slices.DeleteFunc(l.unreported, func(c Crash) bool { return c.Request == request })
	l.cleared = append(trimmed(l.cleared), request)
}

// Blocked reports whether the controller has told this VM to refuse a request. A VM
// does not decide that itself: the request may have succeeded on another.
func (l *Ledger) Blocked(request drrequest.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.block(request) != nil
}

// block returns the block of a request, nil if it has none. The caller holds mu.
func (l *Ledger) block(request drrequest.Fingerprint) *knownBlock {
	if b := l.blocked[request]; b != nil && l.clock.Now().Before(b.liftAt) {
		return b
	}
	return nil
}

// Refuses reports whether a request that has arrived must be refused, and counts it
// as refused then. A blocked request may run nevertheless if the controller has let
// this VM try it.
func (l *Ledger) Refuses(request drrequest.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.block(request)
	if b == nil {
		return false
	}
	if b.probe {
		b.probe = false
		return false
	}
	l.refused[request] = struct{}{}
	return true
}

// TakeReport returns what the controller has not been told yet, or all that this VM
// knows for a controller that may know nothing.
func (l *Ledger) TakeReport(all bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Crashes: l.unreported, Cleared: l.cleared, Refused: slices.Collect(maps.Keys(l.refused))}
	l.unreported, l.cleared = nil, nil
	clear(l.refused)
	if !all {
		return report
	}
	report.Crashes = nil
	now := l.clock.Now()
	l.records.dropExpired(now)
	for request, x := range l.records {
		for runner := range x.runners {
			report.Crashes = append(report.Crashes, Crash{Request: request, Runner: runner})
		}
	}
	for request, b := range l.blocked {
		if now.Before(b.liftAt) {
			report.Blocks = append(report.Blocks, Block{Request: request, Left: b.liftAt.Sub(now), Span: b.span})
		}
	}
	return report
}

// SetBlocks replaces the blocks by those that the controller has told this VM.
func (l *Ledger) SetBlocks(list []Block) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, former := l.clock.Now(), l.blocked
	l.blocked = make(map[drrequest.Fingerprint]*knownBlock, len(list))
	for _, b := range list {
		mayProbe := b.Probe || former[b.Request] != nil && former[b.Request].probe
		l.blocked[b.Request] = &knownBlock{liftAt: now.Add(b.Left), span: b.Span, probe: mayProbe}
	}
}
