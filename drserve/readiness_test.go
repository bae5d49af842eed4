package drserve

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// Guards against a VM that reports ready, and so receives requests, before it has
// read the configuration. Here it cannot read it because no log listens at the
// configured address.
func TestNotReadyBeforeTheConfigurationIsRead(t *testing.T) {
	is := is.New(t)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closedListener.Close())
	s := drsettings.Default()
	s.VM, s.Zone = "entry-1", "a"
	s.Addresses = drsettings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.LogAddress, s.VMListAddress = closedListener.Addr().String(), closedListener.Addr().String()
	s.TLS.Plain = true
	v, err := New(Config{Settings: s, Clock: drclock.System{}, Incarnation: 1})
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
