package drnet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reset that reads like an orderly end because reading was paused when it
// came: an answer without a length would look complete. Also guards against data that is
// lost at an orderly end.
func TestResetIsNoEnd(t *testing.T) {
	for _, size := range []int{1, 1 << 10, maxInboundBytes - 1, maxInboundBytes, maxInboundBytes + 1, maxInboundBytes + readChunkBytes, 2 * maxInboundBytes, 256 << 10} {
		for _, reset := range []bool{false, true} {
			for _, readFirst := range []int{0, maxInboundBytes - resumeInboundBytes - 1, maxInboundBytes} {
				t.Run(fmt.Sprintf("size=%d,reset=%t,read-first=%d", size, reset, readFirst), func(t *testing.T) {
					checkEnd(t, size, min(readFirst, size), reset)
				})
			}
		}
	}
}

// checkEnd lets the peer send size bytes and end the connection, after the first of them
// have been read and as many as fit have arrived, and reads on.
func checkEnd(t *testing.T, size, readFirst int, reset bool) {
	is := is.New(t)
	a, b := connPair(t, Config{})
	content := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
	_, err := b.Write(content)
	is.NoErr(err)
	first := make([]byte, readFirst)
	_, err = io.ReadFull(a, first)
	is.NoErr(err)
	for begin := time.Now(); a.Buffered() < min(size-readFirst, resumeInboundBytes) && time.Since(begin) < testTimeout; {
		time.Sleep(time.Millisecond)
	}
	if reset {
		is.NoErr(b.(*net.TCPConn).SetLinger(0))
	}
	is.NoErr(b.Close())
	if reset {
		awaitDone(t, a)
	}
	rest, err := io.ReadAll(a)
	got := append(first, rest...)
	is.True(bytes.HasPrefix(content, got))
	if reset {
		is.True(errors.Is(err, syscall.ECONNRESET)) // not the end
		return
	}
	is.NoErr(err)
	is.Equal(len(got), size)
}
