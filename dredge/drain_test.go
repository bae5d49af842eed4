package dredge

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drproxy"
)

// Guards against a drain that ends, and cuts a request, because a connection that was
// accepted last has no handler yet and is not counted.
func TestDrainCountsConnectionWithoutHandler(t *testing.T) {
	is := is.New(t)
	clock := drclock.System{}
	accepted, begin := make(chan struct{}), make(chan struct{})
	listener, err := drnet.Listen(drnet.Config{Address: "127.0.0.1:0", Clock: clock, Handler: func(net.Conn) {
		close(accepted)
		<-begin // stands for a handler that the processor has not got to
	}})
	is.NoErr(err)
	defer func() {
		close(begin)
		is.NoErr(listener.Close(t.Context()))
	}()
	e := &Edge{callerListener: listener, proxy: drproxy.New(drproxy.Config{Clock: clock, View: drfleetview.New(clock),
		Budgets: drproxy.NewBudgets(drbalancer.BudgetConfig{Clock: clock})})}
	is.Equal(e.openConnections(), 0)
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	<-accepted
	listener.StopAccepting()
	is.Equal(e.proxy.Connections(), 0)
	is.Equal(e.openConnections(), 1)
}
