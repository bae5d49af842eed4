package drtokenpool

import "time"

const (
	// unknownLevelFraction is the fraction of the burst that an account starts
	// with after an unknown history: a former controller has spent of it, but
	// handed over no level.
	unknownLevelFraction = 0.25
	// maxHandoverAge bounds the age of inherited levels. The age compares the
	// clocks of two VMs, which may differ.
	maxHandoverAge = 4 * time.Second
)

// Inheritance is what a former controller has recorded.
type Inheritance struct {
	// Levels are the tokens left by account, as of Age ago.
	Levels map[string]float64
	Age    time.Duration
	// VMs is the number of VMs that reported to it, 0 if unknown.
	VMs int
}

// Inherit sets what a former controller has recorded. It must be called before the
// first SetLimits, which uses up the levels.
func (p *Pool) Inherit(i Inheritance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i.Age = min(max(i.Age, 0), maxHandoverAge)
	p.inherited = i
}

// AssumeHistory makes accounts without an inherited level start with a part of their
// burst: a former controller has granted tokens of them, but not handed over how many
// are left. It must be called before the first SetLimits.
func (p *Pool) AssumeHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.historyUnknown = true
}

// newAccount returns an account with its starting level, the full burst if it has never
// been used. After a change of the controller that is the last recorded level, without
// a refill for the time since: the tokens of that time count as spent, because VMs
// spend without a controller too and those that have ended cannot report it.
func (p *Pool) newAccount(name string, l Limit) *account {
	now := p.clock.Now()
	a := &account{limit: l, level: l.Burst, refilledAt: now, vms: make(map[string]*vmUsage), formerVMs: p.inherited.VMs}
	if p.historyUnknown {
		a.level *= unknownLevelFraction
	}
	a.absent.reportedAt, a.lateRefilledAt = now, now
	if level, ok := p.inherited.Levels[name]; ok {
		a.level = min(level, l.Burst)
		a.unreportedSpending, a.reportDeadline = p.inherited.Age.Seconds()*l.Rate, now.Add(maxSilentTime)
	}
	return a
}

// absentVMs returns how many VMs reported to a former controller, have not reported to this
// one and may still be running.
func (a *account) absentVMs(now time.Time) int {
	if now.Sub(a.absent.reportedAt) > maxSilentTime {
		return 0
	}
	return max(a.formerVMs-len(a.vms), 0)
}

// absentShare returns the fraction of an account that the absent VMs may use: what the
// others leave of it.
func (a *account) absentShare() float64 {
	if a.formerVMs <= len(a.vms) {
		return 0
	}
	share := 1.0
	for _, u := range a.vms {
		share -= u.largestShare()
	}
	return max(share, 0)
}
