package drnet

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// The goroutines of gnet's worker pool and of fasthttp's tickers run until
	// the process ends.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// testTimeout is how long a test waits for what should happen at once.
const testTimeout = 5 * time.Second

// connPair returns both ends of a connection, the first one accepted by a Server
// and the second one opened by package net.
func connPair(t *testing.T, config Config) (Conn, net.Conn) {
	t.Helper()
	accepted, release := make(chan Conn, 1), make(chan struct{})
	config.Address = "127.0.0.1:0"
	config.Handler = func(c net.Conn) {
		accepted <- c.(Conn)
		<-release
	}
	s, err := Listen(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		close(release)
		_ = s.Close(t.Context())
	})
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return <-accepted, c
}

// awaitDone fails the test if c does not report its peer's disconnect.
func awaitDone(t *testing.T, c Conn) {
	t.Helper()
	select {
	case <-c.Done():
	case <-time.After(testTimeout):
		t.Fatal("the peer's disconnect was not reported")
	}
}

// Guards against an inbound buffer that grows without bound while the peer
// sends and nobody reads, and against data lost when reading resumes.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	a, b := connPair(t, Config{})
	const total = 32 << 20
	sent := make(chan error, 1)
	pattern := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	go func() {
		for n := 0; n < total; n += len(pattern) {
			if _, err := b.Write(pattern); err != nil {
				sent <- err
				return
			}
		}
		sent <- b.(*net.TCPConn).CloseWrite()
	}()
	select {
	case <-sent:
		t.Fatal("flow control did not block the sender")
	case <-time.After(300 * time.Millisecond):
	}
	c := a.(*conn)
	c.mu.Lock()
	buffered := c.inbound.Len()
	c.mu.Unlock()
	is.True(buffered <= maxInboundBytes)
	chunk := make([]byte, len(pattern))
	for n := 0; n < total; n += len(chunk) {
		_, err := io.ReadFull(a, chunk)
		is.NoErr(err)
		is.True(inboundCapacity(c) <= maxInboundBytes)
		is.True(bytes.Equal(chunk, pattern))
	}
	is.NoErr(<-sent)
	_, err := a.Read(chunk)
	is.Equal(err, io.EOF)
}

func inboundCapacity(c *conn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inbound == nil {
		return 0
	}
	return c.inbound.Cap()
}

// Guards against a disconnect that only a read detects, both on an idle
// connection and on one whose reading is paused because its buffer is full. The
// paused one must still deliver all data.
func TestDisconnectIsReportedWithoutReading(t *testing.T) {
	is := is.New(t)
	idle, b := connPair(t, Config{})
	b.Close()
	awaitDone(t, idle)

	paused, b := connPair(t, Config{})
	// With more data the receive window could be full. The peer's kernel would
	// then hold back the FIN, and no local check could detect it.
	const total = maxInboundBytes + 4096
	_, err := b.Write(make([]byte, total))
	is.NoErr(err)
	b.Close()
	awaitDone(t, paused)
	got, err := io.ReadAll(paused)
	is.NoErr(err)
	is.Equal(len(got), total)
}

// Guards against deadlines that are ignored, that still apply after they were
// removed, that do not interrupt a blocked read, or whose error is no timeout.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	a, b := connPair(t, Config{})
	a.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := a.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	var ne net.Error
	is.True(errors.As(err, &ne) && ne.Timeout())

	a.SetReadDeadline(time.Time{})
	_, err = b.Write([]byte("x"))
	is.NoErr(err)
	_, err = a.Read(make([]byte, 1))
	is.NoErr(err)

	a.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = a.Write(make([]byte, 64<<20)) // b does not read
	is.True(errors.Is(err, os.ErrDeadlineExceeded))

	go func() {
		time.Sleep(20 * time.Millisecond)
		a.SetReadDeadline(time.Unix(1, 0)) // interrupts a read that waits
	}()
	_, err = a.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a Close that leaves a writer or reader blocked, that fails when
// repeated, or that discards data written before because the socket still holds
// unread data.
func TestClose(t *testing.T) {
	is := is.New(t)
	a, _ := connPair(t, Config{})
	errs := make(chan error, 2)
	go func() {
		_, err := a.Write(make([]byte, 64<<20))
		errs <- err
	}()
	go func() {
		_, err := a.Read(make([]byte, 1))
		errs <- err
	}()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(a.Close())
	is.NoErr(a.Close())
	for range 2 {
		is.True(errors.Is(<-errs, net.ErrClosed))
	}

	a, b := connPair(t, Config{})
	unread := make([]byte, 2<<20)
	go b.Write(unread)
	time.Sleep(50 * time.Millisecond) // the socket of a now holds unread data
	answer := bytes.Repeat([]byte("x"), 50<<10)
	_, err := a.Write(answer)
	is.NoErr(err)
	is.NoErr(a.Close())
	got, err := io.ReadAll(b)
	is.NoErr(err)
	is.True(bytes.Equal(got, answer))
}

// Guards against a writer that blocks for ever after its peer reset the
// connection.
func TestWriteAfterReset(t *testing.T) {
	is := is.New(t)
	a, b := connPair(t, Config{})
	errs := make(chan error, 1)
	go func() {
		_, err := a.Write(make([]byte, 64<<20))
		errs <- err
	}()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(b.(*net.TCPConn).SetLinger(0))
	b.Close()
	is.True(<-errs != nil)
	awaitDone(t, a)
}

// Guards against a StopAccepting that ends existing connections, and against a
// Close that waits for handlers beyond the end of its context.
func TestStopAcceptingKeepsConnections(t *testing.T) {
	is := is.New(t)
	s, err := Listen(Config{Address: "127.0.0.1:0", Handler: func(c net.Conn) { _, _ = io.Copy(c, c) }})
	is.NoErr(err)
	d, err := NewDialer(Config{})
	is.NoErr(err)
	defer d.Close()
	c, err := d.Dial(t.Context(), s.Addr().String())
	is.NoErr(err)
	s.StopAccepting()
	_, err = d.Dial(t.Context(), s.Addr().String())
	is.True(err != nil)
	_, err = c.Write([]byte("still here"))
	is.NoErr(err)
	got := make([]byte, 10)
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.Equal(string(got), "still here")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(s.Close(ctx), context.DeadlineExceeded))
	awaitDone(t, c.(Conn))
}

// Guards against a bound on connections that is ignored, or that still counts
// closed connections.
func TestMaxConnections(t *testing.T) {
	is := is.New(t)
	s, err := Listen(Config{Address: "127.0.0.1:0", MaxConnections: 1,
		Handler: func(c net.Conn) { _, _ = io.Copy(c, c) }})
	is.NoErr(err)
	defer s.Close(context.Background())
	echoes := func() (net.Conn, bool) {
		c, err := net.Dial("tcp", s.Addr().String())
		is.NoErr(err)
		c.SetDeadline(time.Now().Add(testTimeout))
		_, _ = c.Write([]byte("x"))
		n, _ := c.Read(make([]byte, 1))
		return c, n == 1
	}
	first, ok := echoes()
	is.True(ok)
	second, ok := echoes()
	second.Close()
	is.True(!ok)
	first.Close()
	for begin := time.Now(); s.Connections() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < testTimeout)
	}
	third, ok := echoes()
	third.Close()
	is.True(ok)
}

// newTestCertificate returns the configurations of a server with a self-signed
// certificate for 127.0.0.1 and of a client that trusts it.
func newTestCertificate(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}},
		&tls.Config{RootCAs: roots}
}

// Guards against connections over which fasthttp or TLS do not work, and against
// a handler that is not told when its caller disconnects from a TLS connection.
func TestHTTPOverTLS(t *testing.T) {
	is := is.New(t)
	server, client := newTestCertificate(t)
	handlerStarted, handlerSawClose := make(chan struct{}), make(chan struct{})
	httpServer := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/wait" {
			close(handlerStarted)
			<-ctx.Conn().(Conn).Done()
			close(handlerSawClose)
			return
		}
		ctx.SetBody(ctx.PostBody())
	}}
	s, err := Listen(Config{Address: "127.0.0.1:0", TLS: server, Handler: func(c net.Conn) { _ = httpServer.ServeConn(c) }})
	is.NoErr(err)
	d, err := NewDialer(Config{TLS: client})
	is.NoErr(err)
	httpClient := &fasthttp.HostClient{Addr: s.Addr().String(), MaxIdleConnDuration: time.Second,
		Dial: func(addr string) (net.Conn, error) { return d.Dial(context.Background(), addr) }}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + s.Addr().String() + "/echo")
	req.Header.SetMethod("POST")
	body := bytes.Repeat([]byte("body"), 200<<10)
	req.SetBody(body)
	is.NoErr(httpClient.Do(req, resp))
	is.True(bytes.Equal(resp.Body(), body))

	c, err := d.Dial(t.Context(), s.Addr().String())
	is.NoErr(err)
	_, err = c.Write([]byte("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	<-handlerStarted
	c.Close()
	select {
	case <-handlerSawClose:
	case <-time.After(testTimeout):
		t.Fatal("the handler was not told that its caller disconnected")
	}
	httpClient.CloseIdleConnections()
	is.NoErr(d.Close())
	is.NoErr(s.Close(t.Context()))
}
