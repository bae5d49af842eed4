package drgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const testKey = "sk-test-0123456789"

// fakeSystem implements all interfaces that Config needs. Tests set its upper fields
// to choose answers and errors, and read the lower ones, which record the calls.
type fakeSystem struct {
	mu        sync.Mutex
	withdrawn chan struct{}
	isolated  bool
	tokens    []string
	// beforeToken, if not nil, runs before each token; an error fails the
	// stream. Index counts tokens from 0.
	beforeToken func(ctx context.Context, index int) error
	generateErr error
	limitErr    error
	queueErr    error
	onceErr     error
	blockFinish bool // Finish blocks until its context ends
	callErr     error
	record      *Record
	answer      drrouter.Answer
	onCall      func()
	onQueue     func() // Enqueue then blocks until its context ends

	request  drrouter.Request
	calls    []drrouter.Call
	reserved int
	settled  []float64
	enqueued int
	released int
	closed   int
	outcomes []string
	items    []Item
}

func newFakeSystem() *fakeSystem {
	return &fakeSystem{withdrawn: make(chan struct{}), tokens: []string{"Hei", " på", " deg"},
		answer: drrouter.Answer{Status: 201, Body: []byte("booked"), Header: []drrouter.Field{
			{Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"}, {Name: "X-Kept", Value: "2"}}}}
}

func (f *fakeSystem) Authenticate(key string) (Identity, error) {
	if key != testKey {
		return Identity{}, drerror.New(drerror.NotRun, drerror.InvalidKey, "unknown key")
	}
	return Identity{Account: "anna", Withdrawn: f.withdrawn}, nil
}

func (f *fakeSystem) Model(_, name string) (Model, error) {
	switch name {
	case "m", "adapter":
		return Model{Model: "m", DefaultMaxTokens: 50, MaxTokens: 80, Priority: drconfig.Draft}, nil
	case "secret":
		return Model{}, drerror.New(drerror.NotRun, drerror.NotAllowed, "not selected")
	}
	return Model{}, drerror.New(drerror.NotRun, drerror.UnknownModel, "no such model")
}

func (f *fakeSystem) Models(string) []string { return []string{"m", "adapter"} }

func (f *fakeSystem) Route(path string) (drconfig.Route, error) {
	for _, n := range []string{"bookings", "open", "barred"} {
		if path == "/"+n || strings.HasPrefix(path, "/"+n+"/") {
			return drconfig.Route{Name: n, Path: "/" + n, Fleet: "app", Open: n == "open"}, nil
		}
	}
	return drconfig.Route{}, drerror.New(drerror.NotRun, drerror.UnknownRoute, "no route")
}

func (f *fakeSystem) MayUse(_ string, r drconfig.Route) bool { return r.Name != "barred" }
func (f *fakeSystem) Isolated() bool                         { return f.isolated }

func (f *fakeSystem) Reserve(context.Context, string, float64, time.Time) (Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limitErr != nil {
		return nil, f.limitErr
	}
	f.reserved++
	return f, nil
}

func (f *fakeSystem) Settle(used float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, used)
}

func (f *fakeSystem) Enqueue(ctx context.Context, item Item) (func(float64), error) {
	if f.onQueue != nil {
		f.onQueue()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queueErr != nil {
		return nil, f.queueErr
	}
	f.items = append(f.items, item)
	f.enqueued++
	return func(float64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.released++
	}, nil
}

func (f *fakeSystem) Generate(ctx context.Context, req drrouter.Request) (drengine.TokenStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.request = req
	if f.generateErr != nil {
		return nil, f.generateErr
	}
	return &fakeTokens{ctx: ctx, system: f}, nil
}

type fakeTokens struct {
	ctx    context.Context
	system *fakeSystem
	index  int
}

func (t *fakeTokens) Next() (drengine.Token, error) {
	f := t.system
	if f.beforeToken != nil {
		if err := f.beforeToken(t.ctx, t.index); err != nil {
			return drengine.Token{}, err
		}
	}
	if t.index == len(f.tokens) {
		return drengine.Token{Done: true, FinishReason: "stop", PromptTokens: 7, CompletionTokens: t.index}, nil
	}
	t.index++
	return drengine.Token{Index: t.index - 1, Text: f.tokens[t.index-1]}, nil
}

func (t *fakeTokens) Close() error {
	t.system.mu.Lock()
	defer t.system.mu.Unlock()
	t.system.closed++
	return nil
}

func (f *fakeSystem) Call(ctx context.Context, _ string, call drrouter.Call) (drrouter.Answer, error) {
	if call.Proceed != nil {
		if err := call.Proceed(); err != nil {
			return drrouter.Answer{}, err
		}
	}
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	if f.onCall != nil {
		f.onCall()
	}
	if ctx.Err() != nil {
		return drrouter.Answer{}, failure(drerror.MayHaveRun, drerror.BackendFailed)
	}
	return f.answer, f.callErr
}

func (f *fakeSystem) Begin(context.Context, KeyedCall) (Attempt, *Record, error) {
	if f.onceErr != nil || f.record != nil {
		return nil, f.record, f.onceErr
	}
	return f, nil, nil
}

func (f *fakeSystem) Finish(ctx context.Context, verdict drerror.Verdict, record *Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, fmt.Sprintf("%s recorded=%t", verdict, record != nil && !record.Truncated))
	if f.blockFinish {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (f *fakeSystem) Abandon(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, "abandoned")
	return nil
}

func newTestServer(f *fakeSystem) *Server {
	return New(Config{Clock: drclock.System{}, Directory: f, Limiter: f, Queue: f, Once: f, Generator: f, Services: f,
		Freshness: f, Recorder: drtimeline.Discard{}, MaxHeader: 2048, MaxBody: 4096})
}

// doneConn is a connection with a Done method, from which the server learns that
// the caller has disconnected.
type doneConn struct {
	net.Conn
	done chan struct{}
}

func (c doneConn) Done() <-chan struct{} { return c.done }

// testClient is the client's end of a connection to a Server. Closing disconnected
// simulates that the client has gone away.
type testClient struct {
	net.Conn
	reader       *bufio.Reader
	disconnected chan struct{}
}

// dial opens an in-memory connection to s, which is closed when the test ends.
func dial(t testing.TB, s *Server) *testClient {
	client, server := net.Pipe()
	c := &testClient{Conn: client, reader: bufio.NewReader(client), disconnected: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.ServeConn(doneConn{server, c.disconnected})
	}()
	t.Cleanup(func() {
		client.Close()
		<-served
	})
	return c
}

// send writes a request in the background; each header is "Name: value".
func (c *testClient) send(method, target, body string, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: gate\r\n", method, target)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	go io.WriteString(c.Conn, b.String())
}

func (c *testClient) receive(t testing.TB) *fasthttp.Response {
	t.Helper()
	res := &fasthttp.Response{}
	if err := res.Read(c.reader); err != nil {
		t.Fatal(err)
	}
	return res
}

// do sends one request with the test key on a new connection and returns the
// response.
func do(t testing.TB, s *Server, method, target, body string, headers ...string) *fasthttp.Response {
	t.Helper()
	c := dial(t, s)
	c.send(method, target, body, append(headers, "Authorization: Bearer "+testKey)...)
	return c.receive(t)
}

// waitIdle waits until all requests have ended and are settled, and fails the test
// after five seconds.
func waitIdle(t testing.TB, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		n := s.runningRequests
		s.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("a request was still running after 5 seconds")
}
