package drtokenshare

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// countingMeter is a Meter that adds up the values of all accounts.
type countingMeter struct {
	mu                 sync.Mutex
	borrowed, returned float64
	refused            int
}

func (c *countingMeter) Borrowed(_ string, n float64) { c.withLock(func() { c.borrowed += n }) }
func (c *countingMeter) Returned(_ string, n float64) { c.withLock(func() { c.returned += n }) }
func (c *countingMeter) RefusedInRate(string)         { c.withLock(func() { c.refused++ }) }

func (c *countingMeter) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Guards against refusals that are counted as within the rate although the account
// had used up its tokens, and against refusals that are not counted although the
// missing tokens are with a dead holder.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, Lending, 1, map[string]drconfig.Limit{"a": {Rate: 100, Burst: 1000}})
		defer f.close()
		time.Sleep(30 * time.Second)
		var c countingMeter
		f.vms[0].limiter.config.Meter = &c
		reserve := func(tokens float64) drerror.Reason {
			r, err := f.vms[0].limiter.Reserve(t.Context(), "a", tokens, time.Now().Add(5*time.Second))
			if err != nil {
				return drerror.ReasonOf(err)
			}
			r.Settle(tokens / 2)
			return 0
		}
		is.Equal(reserve(1000), drerror.Reason(0))
		is.Equal(reserve(800), drerror.OverRate)
		time.Sleep(time.Second)
		c.withLock(func() {
			is.True(c.borrowed >= 1000)
			is.True(c.returned >= 500)
			is.Equal(c.refused, 0)
		})
		time.Sleep(10 * time.Second)
		f.kill(f.vms[1])
		f.kill(f.vms[2])
		is.Equal(reserve(900), drerror.OverRate)
		c.withLock(func() { is.Equal(c.refused, 1) })
	})
}
