package drqueue

import (
	"math"
	"time"
)

// serviceRate measures tokens served per second of busy time, weighting
// recent service more.
type serviceRate struct {
	tokens, busy float64
	samples      int
	at           time.Time
}

// start is called before an item starts while running others run.
func (r *serviceRate) start(running int, now time.Time) {
	r.pass(running > 0, now)
}

// finish is called when an item ended.
func (r *serviceRate) finish(tokens float64, now time.Time) {
	r.pass(true, now)
	r.tokens += tokens
	r.samples++
}

func (r *serviceRate) pass(busy bool, now time.Time) {
	d := now.Sub(r.at).Seconds()
	if busy && d > 0 {
		k := math.Exp(-d / rateDecay.Seconds())
		r.tokens *= k
		r.busy = r.busy*k + d
	}
	r.at = now
}

// get returns tokens per second, false before there are enough samples.
func (r *serviceRate) get() (float64, bool) {
	if r.samples < minSamples || r.busy <= 0 || r.tokens <= 0 {
		return 0, false
	}
	return r.tokens / r.busy, true
}
