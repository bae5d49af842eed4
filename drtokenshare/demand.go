package drtokenshare

import (
	"math"
	"time"
)

// demandDecay is the time constant of the measured demand. It covers a few
// borrow requests, so that the demand follows a burst without oscillating.
const demandDecay = time.Second

// demand is the exponentially weighted rate at which requests ask for tokens.
type demand struct {
	rate      float64 // tokens per second
	updatedAt time.Time
}

func (d *demand) add(tokens float64, now time.Time) {
	d.decay(now)
	d.rate += tokens / demandDecay.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
		d.updatedAt = now
	}
}

// expectedWithin returns the tokens that requests will need within span if the
// demand stays as it is.
func (d *demand) expectedWithin(span time.Duration, now time.Time) float64 {
	d.decay(now)
	return d.rate * span.Seconds()
}
