// Package drstandin simulates the external systems of the platform for tests,
// demonstrations and load runs: model engines, other services, the log, the store,
// the VM list and the weight store. All but the store are HTTP servers, by default
// on 127.0.0.1, with the protocols of docs/design.md, section 7.
//
// Faults are set in Go or with POST /v1/faults. Counters are read in Go or with
// GET /v1/counts, which the VM list does not have. Engines and services report with
// GET /v1/saw?text=T whether a recorded request contained the text T.
package drstandin

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	faultsPath = "/v1/faults"
	countsPath = "/v1/counts"
	sawPath    = "/v1/saw"

	// defaultAddress makes the operating system choose a free port.
	defaultAddress = "127.0.0.1:0"

	// maxPollWait bounds a long poll, because fasthttp does not report that the
	// client has closed its connection.
	maxPollWait = 30 * time.Second

	// maxBody is the largest request body in bytes.
	maxBody = 16 << 20
)

// server is the HTTP server that the simulated systems embed.
type server struct {
	mu      sync.Mutex
	address string
	conns   *connListener
	closing chan struct{} // closed by Close; nil before listen
	stopped chan struct{} // closed when the server has stopped
}

// listen starts to serve requests. If address is empty, the operating system
// chooses a port on 127.0.0.1.
func (s *server) listen(address string, handler fasthttp.RequestHandler) error {
	if address == "" {
		address = defaultAddress
	}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = ln.Addr().String()
	s.conns = newConnListener(ln)
	s.closing = make(chan struct{})
	s.stopped = make(chan struct{})
	srv := &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(s.stopped)
		_ = srv.Serve(s.conns)
	}()
	return nil
}

// Address returns the host:port on which the server listens, or an empty string
// before Start.
func (s *server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close stops listening and closes all connections. Further calls, and calls before
// Start, have no effect.
func (s *server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing == nil {
		return
	}
	select {
	case <-s.closing:
		return
	default:
	}
	close(s.closing)
	s.conns.Close()
	s.conns.closeConns()
	<-s.stopped
}

// pause waits for d and reports whether it passed before Close was called.
func (s *server) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.closing:
		return false
	}
}

// discardLogger discards the messages of fasthttp, which reports each connection
// that a simulated fault closes.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// dropConn closes the connection of a request without a response.
func dropConn(ctx *fasthttp.RequestCtx) { ctx.Conn().Close() }

func respondJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// respondError responds with a JSON object whose member error is the message.
func respondError(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	respondJSON(ctx, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

// pollWait returns the query parameter wait, limited to 0 to maxPollWait, or 0 if
// it is missing.
func pollWait(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("query parameter wait: %q is not a duration", text)
	}
	return min(max(d, 0), maxPollWait), nil
}

// uintArg returns a query parameter, or defaultValue if it is missing or is not a
// number.
func uintArg(ctx *fasthttp.RequestCtx, name string, defaultValue uint64) uint64 {
	n, err := ctx.QueryArgs().GetUint(name)
	if err != nil {
		return defaultValue
	}
	return uint64(n)
}

// pathSegments returns the segments of the path, unescaped.
func pathSegments(ctx *fasthttp.RequestCtx) []string {
	return strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
}
