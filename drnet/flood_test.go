package drnet

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a dialled connection that, once it is closed, goes on taking what a peer
// sends without end: the event loop's time for the other connections would go there.
func TestClosedConnectionTakesNothing(t *testing.T) {
	is := is.New(t)
	sent := make(chan error, 1)
	s, err := Listen(Config{Address: "127.0.0.1:0", Handler: func(c net.Conn) {
		var err error
		for err == nil {
			_, err = c.Write(make([]byte, 64<<10))
		}
		sent <- err
	}})
	is.NoErr(err)
	defer s.Close(t.Context())
	traffic := &Traffic{}
	d, err := NewDialer(Config{Traffic: traffic})
	is.NoErr(err)
	defer d.Close()
	c, err := d.Dial(t.Context(), s.Addr().String())
	is.NoErr(err)
	for begin := time.Now(); c.(Conn).Buffered() <= maxInboundBytes-readChunkBytes; time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < testTimeout)
	}
	is.NoErr(c.Close())
	is.True(<-sent != nil)
	is.True(traffic.Received() <= maxInboundBytes)
}
