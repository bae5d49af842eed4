package drengine

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against a data race between Next and a Close from another goroutine, which is
// also what happens when the context of a stream ends.
func TestCloseWhileReading(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	stream := newHTTPStream(context.Background(), reader, defaultMaxLineBytes, 0)
	go func() {
		for i := range 1000 {
			fmt.Fprintf(writer, "{\"index\":%d,\"text\":\"x\"}\n", i)
		}
		_ = writer.Close()
	}()
	closed := make(chan error)
	for i := 0; ; i++ {
		if i == 50 {
			go func() { closed <- stream.Close() }()
		}
		if _, err := stream.Next(); err != nil {
			is.True(i >= 50) // the stream ends early only because of Close
			break
		}
	}
	is.NoErr(<-closed)
	is.NoErr(reader.Close())
}
