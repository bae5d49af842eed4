package drtokenshare

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// newTestShares returns a state in which 4 processes hold the shares of each account
// in turn.
func newTestShares(accounts int) *Shares {
	s := NewShares()
	for i := range accounts {
		var e drpb.ShareEntry
		for n := range uint32(ShareCount) {
			e.Changes = append(e.Changes, &drpb.ShareChange{Account: fmt.Sprint("a", i), Share: n, Vm: fmt.Sprint("vm", n%4), Incarnation: 1})
		}
		data, _ := proto.Marshal(&e)
		s.Apply(drlog.Record{Offset: uint64(i + 1), Data: data})
	}
	return s
}

// Guards against a VM that gives up shares of another account or process, and against
// an order of an account's shares that differs from that of all shares.
func TestSharesOfOneAccount(t *testing.T) {
	is := is.New(t)
	s, p := newTestShares(3), process{"vm1", 1}
	var all []shareKey
	for i := range 3 {
		all = append(all, s.keysOfAccount(fmt.Sprint("a", i), p)...)
	}
	is.Equal(all, s.keysOf(p))
	is.Equal(len(all), 3*ShareCount/4)
	is.Equal(len(s.keysOfAccount("a1", process{"vm1", 2})), 0)
}

// BenchmarkSharesOfAccounts lists the shares of each account once, as Holder.Run does
// every second.
func BenchmarkSharesOfAccounts(b *testing.B) {
	for _, n := range []int{20, 80, 320, 1000} {
		s, p := newTestShares(n), process{"vm1", 1}
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) {
			for b.Loop() {
				for i := range n {
					s.keysOfAccount(fmt.Sprint("a", i), p)
				}
			}
		})
	}
}
