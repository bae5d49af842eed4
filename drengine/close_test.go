package drengine

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against a data race between the reader of a stream and the end of
// its context, which closes the stream from another goroutine.
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
			is.True(i >= 50) // only the close ends the stream early
			break
		}
	}
	is.NoErr(<-closed)
	is.NoErr(reader.Close())
}
