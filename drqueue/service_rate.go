package drqueue

import (
	"math"
	"time"
)

// serviceRate measures tokens served per second of busy time, weighting
// recent service more.
type serviceRate struct {
	tokens, busySeconds float64
	samples             int
	updatedAt           time.Time
}

// itemStarted is called before an item starts while running others run.
func (r *serviceRate) itemStarted(running int, now time.Time) {
	r.advance(running > 0, now)
}

// itemFinished is called when an item ended.
func (r *serviceRate) itemFinished(tokens float64, now time.Time) {
	r.advance(true, now)
	r.tokens += tokens
	r.samples++
}

func (r *serviceRate) advance(busy bool, now time.Time) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if busy && elapsed > 0 {
		decay := math.Exp(-elapsed / rateDecay.Seconds())
		r.tokens *= decay
		r.busySeconds = r.busySeconds*decay + elapsed
	}
	r.updatedAt = now
}

// tokensPerSecond returns tokens per second, false before there are enough samples.
func (r *serviceRate) tokensPerSecond() (float64, bool) {
	if r.samples < minRateSamples || r.busySeconds <= 0 || r.tokens <= 0 {
		return 0, false
	}
	return r.tokens / r.busySeconds, true
}
