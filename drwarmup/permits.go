package drwarmup

import "time"

// Permits are the permits that one VM has. All times are uptimes, which also pass while
// the VM is suspended. The zero value has none. Not safe for concurrent use.
type Permits struct {
	// ends contains when the permits for each runner end, in ascending order.
	ends map[Incarnation][]time.Duration
}

// Add adds permits for a runner that end at a time.
func (p *Permits) Add(runner Incarnation, permits int, end time.Duration) {
	if p.ends == nil {
		p.ends = make(map[Incarnation][]time.Duration)
	}
	for range permits {
		p.ends[runner] = append(p.ends[runner], end)
	}
}

// Left returns the number of permits for a runner that have not ended.
func (p *Permits) Left(runner Incarnation, now time.Duration) int {
	p.dropEnded(runner, now)
	return len(p.ends[runner])
}

// Take uses up one permit for a runner and returns false if there is none.
func (p *Permits) Take(runner Incarnation, now time.Duration) bool {
	if p.Left(runner, now) == 0 {
		return false
	}
	p.ends[runner] = p.ends[runner][1:]
	return true
}

// dropEnded drops the permits for a runner that have ended.
func (p *Permits) dropEnded(runner Incarnation, now time.Duration) {
	kept := p.ends[runner][:0]
	for _, end := range p.ends[runner] {
		if now < end {
			kept = append(kept, end)
		}
	}
	if len(kept) == 0 {
		delete(p.ends, runner)
		return
	}
	p.ends[runner] = kept
}
