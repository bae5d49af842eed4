package drcapacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// unreachablePeers is a drpeer.Caller whose calls fail.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return errors.New("no peer is reachable")
}

// entryVMs returns a list of n entry VMs.
func entryVMs(n int) []drstandin.VM {
	vms := make([]drstandin.VM, n)
	for i := range vms {
		vms[i] = drstandin.VM{
			ID: fmt.Sprintf("entry-vm-%04d", i), Role: "entry", Zone: "hall-tre",
			Address: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250), State: "live",
		}
	}
	return vms
}

// members measures reads of the VM list, the ranking of VMs that chooses a home,
// and the memory of the membership, by the number of VMs.
func (b *bench) members() error {
	for _, n := range []int{16, 64, 256, 1024} {
		if err := b.vmList(n); err != nil {
			return err
		}
	}
	for _, n := range []int{4, 16, 64, 256} {
		ms := make([]drmember.Member, n)
		for i := range ms {
			ms[i] = drmember.Member{VM: fmt.Sprintf("entry-vm-%04d", i)}
		}
		if err := b.cpu("rank", "", "vms", float64(n), func() error { drmember.Rank("model/m17", ms); return nil }); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) vmList(n int) error {
	l := drstandin.NewVMList(drstandin.VMListConfig{VMs: entryVMs(n)})
	if err := l.Start(); err != nil {
		return err
	}
	defer l.Close()
	ctx := context.Background()
	lister := drmember.NewHTTPLister("http://"+l.Address(), nil)
	var version uint64
	if err := b.cpu("list-changed", "list-changed-bytes", "listed-vms", float64(n), func() error {
		list, _, err := lister.VMs(ctx, 0)
		version = list.Version
		return err
	}); err != nil {
		return err
	}
	if err := b.cpu("list-unchanged", "list-unchanged-bytes", "listed-vms", float64(n), func() error {
		_, _, err := lister.VMs(ctx, version)
		return err
	}); err != nil {
		return err
	}
	b.memory("member-memory", "listed-vms", float64(n), func() any { return loadedMembership(lister, n) })
	return nil
}

// loadedMembership returns a stopped membership that has read a list of n VMs.
func loadedMembership(lister drmember.Lister, n int) *drmember.Membership {
	m := drmember.New(drmember.Config{Self: drmember.Member{VM: "entry-vm-0000"}, Lister: lister, Peers: unreachablePeers{}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	for len(m.Members()) < n {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	return m
}
