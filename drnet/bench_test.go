package drnet

import (
	"context"
	"io"
	"net"
	"testing"
)

// benchPair returns the two ends of a connection over loopback. If eventLoop
// is true, both ends run on event loops of this package. Otherwise they are
// connections of package net, as the baseline.
func benchPair(b *testing.B, eventLoop bool) (client, server net.Conn) {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	server, err = ln.Accept()
	if err != nil {
		b.Fatal(err)
	}
	if eventLoop {
		l, err := newEventLoops(2, nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = l.stop() })
		if client, err = l.addConn(client); err != nil {
			b.Fatal(err)
		}
		if server, err = l.addConn(server); err != nil {
			b.Fatal(err)
		}
	}
	b.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// benchNetAndEventLoop runs a benchmark with connections of package net and with
// connections on event loops of this package.
func benchNetAndEventLoop(b *testing.B, bench func(b *testing.B, eventLoop bool)) {
	b.Run("net", func(b *testing.B) { bench(b, false) })
	b.Run("bridge", func(b *testing.B) { bench(b, true) })
}

// BenchmarkEcho measures the round trip of 128 bytes.
func BenchmarkEcho(b *testing.B) {
	benchNetAndEventLoop(b, func(b *testing.B, eventLoop bool) {
		c, s := benchPair(b, eventLoop)
		go func() { _, _ = io.Copy(struct{ io.Writer }{s}, struct{ io.Reader }{s}) }()
		buf := make([]byte, 128)
		b.ResetTimer()
		for range b.N {
			if _, err := c.Write(buf); err != nil {
				b.Fatal(err)
			}
			if _, err := io.ReadFull(c, buf); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// benchmarkWrites measures writes of size bytes to a peer that reads
// everything.
func benchmarkWrites(b *testing.B, size int) {
	benchNetAndEventLoop(b, func(b *testing.B, eventLoop bool) {
		c, s := benchPair(b, eventLoop)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_, _ = io.CopyN(io.Discard, struct{ io.Reader }{s}, int64(b.N)*int64(size))
			cancel()
		}()
		buf := make([]byte, size)
		b.SetBytes(int64(size))
		b.ResetTimer()
		for range b.N {
			if _, err := c.Write(buf); err != nil {
				b.Fatal(err)
			}
		}
		<-ctx.Done()
	})
}

func BenchmarkSmallWrites(b *testing.B) { benchmarkWrites(b, 128) }

func BenchmarkLargeWrites(b *testing.B) { benchmarkWrites(b, 64<<10) }
