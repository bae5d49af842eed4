package drqueue

import (
	"math"
	"time"
)

// serviceRate measures the expected tokens of finished items per second in which
// items were running. Older items count less, with the time constant rateDecay.
type serviceRate struct {
	tokens, busySeconds float64   // costs of finished items and busy time, both decayed
	samples             int       // finished items, not decayed
	updatedAt           time.Time // end of the time covered by busySeconds
}

// itemStarted must be called before an item starts. running is the number of
// other items that are running.
func (r *serviceRate) itemStarted(running int, now time.Time) {
	r.advance(running > 0, now)
}

// itemFinished must be called when an item has ended. tokens is its expected
// cost.
func (r *serviceRate) itemFinished(tokens float64, now time.Time) {
	r.advance(true, now)
	r.tokens += tokens
	r.samples++
}

// advance moves the measurement to now. busy says whether items were running
// since the last call; idle time does not count and decays nothing.
func (r *serviceRate) advance(busy bool, now time.Time) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if busy && elapsed > 0 {
		decay := math.Exp(-elapsed / rateDecay.Seconds())
		r.tokens *= decay
		r.busySeconds = r.busySeconds*decay + elapsed
	}
	r.updatedAt = now
}

// tokensPerSecond returns the rate, or false before minRateSamples items have
// finished.
func (r *serviceRate) tokensPerSecond() (float64, bool) {
	if r.samples < minRateSamples || r.busySeconds <= 0 || r.tokens <= 0 {
		return 0, false
	}
	return r.tokens / r.busySeconds, true
}
