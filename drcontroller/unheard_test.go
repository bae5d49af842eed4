package drcontroller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// deafReserver is a controller that does not answer.
type deafReserver struct{}

func (deafReserver) Reserve(context.Context, string, float64) (drtokenpool.Reservation, bool) {
	return drtokenpool.Reservation{}, false
}

// cutFrom reports whether no call from one VM to the other succeeds. The caller holds mu.
func (n *testNode) cutFrom(to *testNode) bool {
	return n.partitioned || to.partitioned || n != to && (n.peersCut || to.peersCut)
}

// follower returns a VM that does not run the controller.
func (f *testFleet) follower() *testNode {
	if n := f.nodes["vm-0"]; n != f.controllers()[0] {
		return n
	}
	return f.nodes["vm-1"]
}

// Guards against a VM that goes on spending its share for good while it reaches the store and not
// the controller, which gives that share to others; and against VMs that spend nothing while the
// store is away and no controller leads, or once the controller is reached again.
func TestVMWithoutControllerGivesUpItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(5)
		defer f.close()
		time.Sleep(5 * time.Second)
		leading, cut := f.controllers()[0], f.follower()
		basis := func(n *testNode) drtokenpool.Basis {
			n.Allowances.SetLimits(map[string]drtokenpool.Limit{"a": {Rate: 1000, Burst: 1000}})
			return n.Allowances.Admit(context.Background(), deafReserver{}, "a", 1).Basis
		}
		setCut := func(isCut bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			cut.peersCut = isCut
		}
		setCut(true)
		time.Sleep(4 * time.Second)
		is.Equal(basis(cut), drtokenpool.ByShare)
		for range 20 { // at no moment between two reads of the lease
			time.Sleep(1900 * time.Millisecond)
			is.Equal(basis(cut), drtokenpool.ByExpiredShare)
			is.Equal(basis(leading), drtokenpool.ByShare)
		}
		setCut(false)
		time.Sleep(2 * time.Second)
		is.Equal(basis(cut), drtokenpool.ByShare)
		f.mu.Lock()
		f.outageUntil = time.Now().Add(time.Hour)
		f.mu.Unlock()
		for range 20 {
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				is.Equal(basis(n), drtokenpool.ByShare)
			}
		}
	})
}
