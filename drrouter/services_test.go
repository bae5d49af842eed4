package drrouter

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// fakeServices is a fleet of plain services and the Caller to reach them. The
// first calls fail with errs in turn, later ones succeed.
type fakeServices struct {
	mu       sync.Mutex
	backends []drmember.Backend
	errs     []error
	calls    []string // addresses of the servers called, in order
}

func (f *fakeServices) Backends(string) []drmember.Backend { return f.backends }

func (f *fakeServices) Call(_ context.Context, addr string, _ Call) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, addr)
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return Answer{}, err
	}
	return Answer{Status: 200}, nil
}

// newServices adds the servers s0 to s3 to the fake, s0 and s2 in zone z0 and
// s1 and s3 in z1, and returns a Services in z1.
func newServices(fake *fakeServices) *Services {
	for i := range 4 {
		fake.backends = append(fake.backends, drmember.Backend{Address: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2)})
	}
	return NewServices(ServicesConfig{
		Clock: drclock.System{}, Zone: "z1", Backends: fake, Caller: fake,
		Suspects: (&network{}).addVM(drclock.System{}, "vm"), Recorder: drtimeline.Discard{},
	})
}

// Guards against repeating a call that may have run although the caller did not
// allow it (invariant I10), and against giving up on a call that certainly did
// not run.
func TestRetryByVerdict(t *testing.T) {
	for _, tt := range []struct {
		verdict    drerror.Verdict
		repeatable bool
		calls      int
		ok         bool
	}{
		{drerror.NotRun, false, 2, true},
		{drerror.NotRun, true, 2, true},
		{drerror.MayHaveRun, false, 1, false},
		{drerror.MayHaveRun, true, 2, true},
		{drerror.Ran, false, 1, false},
		{drerror.Ran, true, 1, false},
	} {
		t.Run(fmt.Sprint(tt.verdict, tt.repeatable), func(t *testing.T) {
			is := is.New(t)
			f := &fakeServices{errs: []error{drerror.New(tt.verdict, drerror.BackendFailed, "x")}}
			s := newServices(f)
			_, err := s.Call(context.Background(), "fleet", Call{Method: "POST", Repeatable: tt.repeatable})
			is.Equal(err == nil, tt.ok)
			is.Equal(len(f.calls), tt.calls)
			if !tt.ok {
				is.Equal(drerror.VerdictOf(err), tt.verdict)
			}
			is.Equal(len(s.inflight), 0)
			is.Equal(len(s.Suspects.runsByBackend), 0)
		})
	}
}

// Guards against calls to draining servers, and against calls to busy servers
// or servers of another zone while better ones exist.
func TestServicesPreferIdleAndNear(t *testing.T) {
	is := is.New(t)
	f := &fakeServices{}
	s := newServices(f)
	f.backends[1].Leaving = true
	for range 8 {
		_, err := s.Call(context.Background(), "fleet", Call{Method: "GET"})
		is.NoErr(err)
	}
	for _, a := range f.calls {
		is.Equal(a, "s3")
	}
	s.inflight["s3"] = 1
	_, err := s.Call(context.Background(), "fleet", Call{Method: "GET"})
	is.NoErr(err)
	is.True(f.calls[8] != "s3" && f.calls[8] != "s1")
}

// Guards against the verdict "not run" for a call that was sent but whose
// response is missing or cut off (invariant I9), and against counting a refused
// connection as a call that was sent.
func TestHTTPCallerVerdicts(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	replies := []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncut", "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-A: b\r\n\r\nok"}
	served := make(chan struct{})
	go func() {
		defer close(served)
		for _, reply := range replies {
			c, err := l.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if err := req.Read(bufio.NewReader(c)); err != nil {
				t.Error(err)
			}
			fmt.Fprint(c, reply)
			c.Close()
		}
	}()
	call := Call{Method: "POST", Target: "/bookings?a=1", Body: []byte("x")}
	for range 2 {
		_, err = HTTPCaller{}.Call(context.Background(), l.Addr().String(), call)
		is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
	}
	a, err := HTTPCaller{}.Call(context.Background(), l.Addr().String(), call)
	is.NoErr(err)
	is.Equal(a.Status, 201)
	is.Equal(string(a.Body), "ok")
	<-served
	l.Close()
	_, err = HTTPCaller{}.Call(context.Background(), l.Addr().String(), call)
	is.Equal(drerror.VerdictOf(err), drerror.NotRun)
}

// Guards against a caller that gets an answer whose status is none or that is malformed, and against one that gets a
// part of an answer as a whole one: its server answers a long call at once, without a length,
// and resets the connection while the call is being written.
func TestHTTPCallerTakesNoOddAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"no status":   "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"high status": "HTTP/1.1 777 OK\r\nContent-Length: 2\r\n\r\nok",
		"name":        "HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 2\r\n\r\nok",
		"length":      "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"interim":     "HTTP/1.1 103 Early Hints\r\nX Foo: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Foo : v\r\n\r\n",
		"reset":       "HTTP/1.1 200 OK\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				body := make([]byte, 4<<10)
				_, _ = conn.Read(body)
				_, _ = conn.Write([]byte(answer))
				time.Sleep(20 * time.Millisecond)
				if name == "reset" {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			size := 10
			if name == "reset" {
				size = 4 << 20
			}
			_, err = HTTPCaller{}.Call(context.Background(), l.Addr().String(), Call{Method: "POST", Target: "/x", Body: make([]byte, size)})
			is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
			is.True(err != nil)
		})
	}
}
