package drserve

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drsettings"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// Guards against a VM that reports ready, and so receives requests, before it has
// read the configuration. Here it cannot read it because no log listens at the
// configured address.
func TestNotReadyBeforeTheConfigurationIsRead(t *testing.T) {
	is := is.New(t)
	closed := closedAddress(t)
	v, err := newTestVM(closed, closed)
	is.NoErr(err)
	ready, reason := adminBackend{v}.Ready()
	is.Equal(ready, false)
	is.Equal(reason, "starting")
	is.NoErr(v.Start())
	defer v.Close()
	ready, reason = adminBackend{v}.Ready()
	is.Equal(ready, false)
	is.True(strings.HasPrefix(reason, "stream config"))
}

// Guards against a VM that reports ready before it knows any backend server, and
// refuses what it gets for lack of capacity: the list of VMs does not name this VM yet.
func TestNotReadyBeforeTheVMListIsRead(t *testing.T) {
	is := is.New(t)
	l := drstandin.NewLog(drstandin.LogConfig{})
	is.NoErr(l.Start())
	defer l.Close()
	list := drstandin.NewVMList(drstandin.VMListConfig{})
	is.NoErr(list.Start())
	defer list.Close()
	v, err := newTestVM(l.Address(), list.Address())
	is.NoErr(err)
	is.NoErr(v.Start())
	defer v.Close()
	awaitReason(t, v, "the VM list has not been read yet")
	entry := drstandin.VM{ID: "entry-1", Role: "entry", Zone: "a", Address: "127.0.0.1:1", State: "live"}
	is.NoErr(list.Change(drstandin.VMChange{Op: "add", VM: entry}))
	awaitReason(t, v, "")
}

// awaitReason waits until Ready gives a reason, "" if the VM is ready.
func awaitReason(t *testing.T, v *VM, want string) {
	t.Helper()
	reason := "none"
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, reason = (adminBackend{v}).Ready(); reason == want {
			return
		}
	}
	t.Fatalf("after 10 s the VM says %q, not %q", reason, want)
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

func newTestVM(logAddress, vmListAddress string) (*VM, error) {
	s := drsettings.Default()
	s.VM, s.Zone = "entry-1", "a"
	s.Addresses = drsettings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.LogAddress, s.VMListAddress = logAddress, vmListAddress
	s.TLS.Plain = true
	return New(Config{Settings: s, Clock: drclock.System{}, Incarnation: 1})
}
