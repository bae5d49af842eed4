package drmember

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// staticLister is a Lister that returns a fixed list.
type staticLister struct{ list List }

func (l *staticLister) VMs(_ context.Context, version uint64) (List, bool, error) {
	return l.list, version != l.list.Version, nil
}

// Guards against a Membership that works only on the in-memory network of the other
// tests, by running three over TCP, and against goroutines of Run that outlive its
// context.
func TestRunOverTheRealTransport(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
	dialer, err := drnet.NewDialer(drnet.Config{Loops: 1})
	is.NoErr(err)
	defer dialer.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	lister := &staticLister{List{Version: 1}}
	var memberships []*Membership
	for i, vm := range []string{"a", "b", "c"} {
		var m *Membership
		node := drpeer.New(drpeer.Config{
			VM: vm, Incarnation: uint64(100 + i), Dialer: dialer,
			Addresses: func(vm string) (string, bool) { return m.Address(vm) },
		})
		defer node.Close()
		server, err := drnet.Listen(drnet.Config{Address: "127.0.0.1:0", Handler: node.ServeConn, Loops: 1})
		is.NoErr(err)
		defer server.Close(context.Background())
		defer node.Close() // must be closed before the server, which waits for its sessions
		self := Member{VM: vm, Address: server.Addr().String(), Incarnation: uint64(100 + i)}
		m = New(Config{Self: self, Lister: lister, Peers: node})
		m.Register(node)
		lister.list.VMs = append(lister.list.VMs, ListedVM{ID: vm, Role: roleEntry, Address: self.Address})
		memberships = append(memberships, m)
	}
	for _, m := range memberships {
		wg.Go(func() { m.Run(ctx) })
	}
	allReached := func() bool {
		for _, m := range memberships {
			for _, c := range m.Candidates() {
				if c.Incarnation == 0 {
					return false
				}
			}
			if len(m.Candidates()) != 3 {
				return false
			}
		}
		return true
	}
	for begin := time.Now(); !allReached(); time.Sleep(20 * time.Millisecond) {
		is.True(time.Since(begin) < 10*time.Second) // probes go out every second
	}
}
