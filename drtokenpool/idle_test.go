package drtokenpool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// Guards against tokens that are spent twice by an account that was idle when a third of
// the VMs lost the controller: they spend an even part each, which must be set aside.
func TestIdleAccountKeepsRateWithVMsCutOff(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	const vms, cut, rate = 30, 10, 30_000.0
	limits := map[string]drtokenpool.Limit{"a": {Rate: rate, Burst: rate}}
	pool.SetLimits(limits)
	allowances, clients := newFleet(clock, pool, limits, vms)
	for range 4 {
		for i, a := range allowances {
			clients[i].report(a, vms)
		}
		clock.Advance(250 * time.Millisecond)
	}
	for _, c := range clients[:cut] {
		c.down = true
	}
	surge(t, clock, allowances, clients, 0, 1100*time.Millisecond) // the VMs notice
	admitted, _ := surge(t, clock, allowances, clients, 6*rate, 4*time.Second)
	t.Logf("%.0f tokens", sum(admitted))
	is.True(sum(admitted) <= (4*rate+rate)*1.1)
}

// Guards against half of a large fleet that goes on spending its part for long, because it
// reaches the store and not the controller, while the other half gets the whole rate.
func TestHalfOfVMsCutOffForLongKeepRate(t *testing.T) {
	const vms, rate = 200, 1e6
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	limits := map[string]drtokenpool.Limit{"a": {Rate: rate, Burst: rate}}
	pool.SetLimits(limits)
	allowances, clients := newFleet(clock, pool, limits, vms)
	surge(t, clock, allowances, clients, 3*rate, 8*time.Second)
	for _, c := range clients[:vms/2] {
		c.down, c.readsStore = true, true
	}
	for range 3 { // windows of the platform's rule
		admitted, _ := surge(t, clock, allowances, clients, 3*rate, 8*time.Second)
		t.Logf("%.2f of the limit", sum(admitted)/(8*rate+rate))
		is.True(sum(admitted) <= (8*rate+rate)*1.1)
		for _, c := range clients[:vms/2] {
			pool.Forget(c.vm) // as the controller does by then
		}
	}
}
