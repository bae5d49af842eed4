package drnet

import (
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against control traffic that is measured too low because bytes sent or
// received are not counted.
func TestTraffic(t *testing.T) {
	is := is.New(t)
	var traffic Traffic
	server, client := connPair(t, Config{Traffic: &traffic})
	_, err := client.Write([]byte("12345"))
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, 5))
	is.NoErr(err)
	_, err = server.Write([]byte("123"))
	is.NoErr(err)
	is.Equal(traffic.Received(), int64(5))
	is.Equal(traffic.Sent(), int64(3))
}
