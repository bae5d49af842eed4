// Package drstandin holds stand-ins of the platform's outside systems for tests,
// demonstrations and load runs. Each listens on 127.0.0.1 and follows the
// protocols of docs/design.md, section 7. Faults are switched in Go or with
// POST /v1/faults, counters are read in Go or with GET /v1/counts; engines and
// services tell with GET /v1/saw?text=T whether a request contained a text.
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

	// defaultAddress lets the system choose a free port.
	defaultAddress = "127.0.0.1:0"

	// maxPollWait bounds a long poll, because fasthttp does not report that a
	// polling client has gone.
	maxPollWait = 30 * time.Second

	// maxBody is the largest request body in bytes.
	maxBody = 16 << 20
)

// server is the HTTP listener that all stand-ins share.
type server struct {
	mu      sync.Mutex
	address string
	conns   *connListener
	closing chan struct{}
	stopped chan struct{}
}

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

// Address returns the address on which the stand-in listens.
func (s *server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close stops listening and drops all connections.
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

// pause waits for d and reports whether the stand-in still runs.
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

// discardLogger discards fasthttp's messages about connections that tests drop.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// dropConn ends the connection of a request without an answer.
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

func respondError(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	respondJSON(ctx, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

// pollWait returns the bounded duration in query parameter wait.
func pollWait(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("wait %q is not a duration", text)
	}
	return min(max(d, 0), maxPollWait), nil
}

// uintArg returns the query parameter name, or missing if it is not a number.
func uintArg(ctx *fasthttp.RequestCtx, name string, defaultValue uint64) uint64 {
	n, err := ctx.QueryArgs().GetUint(name)
	if err != nil {
		return defaultValue
	}
	return uint64(n)
}

// pathSegments returns the unescaped parts of the path.
func pathSegments(ctx *fasthttp.RequestCtx) []string {
	return strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
}
