package drhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// malformedFields are lines that are no field.
var malformedFields = []string{
	"X Foo: v", "Content Length: 2", "Transfer Encoding: chunked", "X-Foo : v", "X-Foo\t: v", "X\tFoo: v", "X\x01Foo: v", "X\x7fFoo: v",
	"X\x00Foo: v", "X\rFoo: v", "X\xe4Foo: v", "X(Foo: v", "X/Foo: v", "\"X\": v", "X-Foo", ": v", "X-Foo: a\x01b", "X-Foo: a\x00b", "X-Foo: a\rb",
	"X-Foo: a\x7fb", "X-Foo: v\r", "X-Foo: v\r\n\tw\x0b",
}

// soundFields are lines of one field each.
var soundFields = []string{
	"X-Foo: v", "X-Foo:v", "X-Foo:", "X-Foo: \t v \t", "X-Foo: a\tb c", "X-Foo: \xe4\xff\x80", "!#$%&'*+-.^_`|~09azAZ: v", "X-Foo: a:b", "X-Foo: v\r\n w",
}

// Guards against an answer, interim or final, whose head is none by the grammar and that
// counts as an answer all the same.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	heads := []string{
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 600 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n",
		"HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 200\tOK\r\n\r\n", "HTTP/1.1 200 O\x01K\r\n\r\n", "HTTP/1.1 200 O\rK\r\n\r\n", "HTTP/1.1\t200 OK\r\n\r\n",
		"http/1.1 200 OK\r\n\r\n", "HTTP/11 200 OK\r\n\r\n", " HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n X-Foo: v\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Foo: v\n\nbody\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.2 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
	}
	for _, line := range malformedFields {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+line+"\r\nX-Bar: v\r\n\r\n")
	}
	for _, head := range heads {
		var header fasthttp.ResponseHeader
		err := drhttp.ReadHeader(&header, bufio.NewReader(strings.NewReader(head)))
		if !errors.Is(err, drhttp.ErrMalformed) && !errors.Is(err, drhttp.ErrNoStatus) {
			t.Errorf("%q: %v", head, err)
		}
		interim := strings.Replace(head, " 200", " 103", 1) + "HTTP/1.1 200 OK\r\n\r\n"
		if err := drhttp.ReadFinalHeader(&header, bufio.NewReader(strings.NewReader(interim))); err == nil {
			t.Errorf("%q was passed over", interim)
		}
	}
}

// Guards against a check of heads that refuses what the grammar allows, or waits for more than
// the head.
func TestSoundHeadIsAnAnswer(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.0 404 Not Found\r\n\r\n", "HTTP/1.1 599 \xe4\tx\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Foo: v\r\n\r\n",
	}
	for _, line := range soundFields {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n", "HTTP/1.1 200 OK\r\nServer: s\r\n"+line+"\r\nX-Bar: v\r\n\r\n")
	}
	for _, head := range heads {
		for name, reader := range map[string]io.Reader{"whole": strings.NewReader(head), "bytewise": &bytewise{text: head}} {
			var header fasthttp.ResponseHeader
			if err := drhttp.ReadHeader(&header, bufio.NewReader(reader)); err != nil {
				t.Errorf("%q, %s: %v", head, name, err)
			}
		}
	}
}

// bytewise reads a text a byte at a time, and fails a test that reads beyond it.
type bytewise struct{ text string }

// Read implements io.Reader.
func (b *bytewise) Read(p []byte) (int, error) {
	if b.text == "" {
		return 0, errors.New("read beyond the head")
	}
	n := copy(p[:1], b.text)
	b.text = b.text[n:]
	return n, nil
}

// Guards against a trailer that is none by the grammar, after a body that counts as whole all
// the same, and against a check of trailers that refuses what the grammar allows.
func TestMalformedTrailerIsNoEnd(t *testing.T) {
	is := is.New(t)
	read := func(line string) error {
		_, err := drhttp.ReadBody(drhttp.NewChunkedReader(bufio.NewReader(strings.NewReader("1\r\nx\r\n0\r\n"+line+"\r\n\r\n"))), 10)
		return err
	}
	for _, line := range malformedFields {
		if err := read(line); !errors.Is(err, drhttp.ErrMalformed) {
			t.Errorf("%q: %v", line, err)
		}
	}
	for _, line := range soundFields {
		is.NoErr(read(line))
	}
}

// Guards against a request that reaches the product although a field is none by the grammar,
// such as one that hides where the body ends.
func TestMalformedRequestIsNone(t *testing.T) {
	for _, line := range append(malformedFields, "X-Bar: v\r\nX Foo: v") {
		head := "POST /x HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\n"
		var header fasthttp.RequestHeader
		if err := drhttp.ReadRequestHeader(&header, bufio.NewReader(strings.NewReader(head))); !errors.Is(err, drhttp.ErrMalformed) {
			t.Errorf("%q: %v", head, err)
		}
		_, fields, _ := strings.Cut(head, "\r\n")
		if err := drhttp.CheckFields([]byte(fields)); !errors.Is(err, drhttp.ErrMalformed) {
			t.Errorf("%q: %v", fields, err)
		}
	}
	for _, line := range soundFields {
		is := is.New(t)
		var header fasthttp.RequestHeader
		is.NoErr(drhttp.ReadRequestHeader(&header, bufio.NewReader(strings.NewReader("GET /x HTTP/1.1\r\nHost: h\r\n"+line+"\r\n\r\n"))))
		is.NoErr(drhttp.CheckFields([]byte("Host: h\r\n" + line + "\r\n\r\n")))
	}
}

// Guards against a service whose malformed answer counts, in its head, in an interim head or in
// its trailer, also on a connection that has carried an answer before.
func TestClientTakesNoMalformedAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"name":     "HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 2\r\n\r\nok",
		"length":   "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\nX Foo: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"status":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"switched": "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok",
		"trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Foo : v\r\n\r\n",
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/", stream), func(t *testing.T) {
				is := is.New(t)
				address := startServer(t, func(conn net.Conn) {
					reader := bufio.NewReader(conn)
					for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", answer} {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = io.WriteString(conn, text)
					}
				})
				client := drhttp.New(drhttp.Config{
					Address: address, Clock: drclock.System{}, MaxConns: 1, DialTimeout: time.Second, MaxBody: 100, Stream: stream,
				})
				defer client.Close()
				call := func() (string, error) {
					resp, err := client.Do(context.Background(), drhttp.Call{Method: fasthttp.MethodGet, Target: "/", Limit: time.Second})
					if err != nil {
						return "", err
					}
					defer drhttp.CloseBody(resp)
					if !stream {
						return string(resp.Body()), nil
					}
					body, err := io.ReadAll(resp.BodyStream())
					return string(body), err
				}
				body, err := call()
				is.NoErr(err)
				is.Equal(body, "ok")
				body, err = call()
				if err == nil {
					t.Errorf("%q was taken, with the body %q", answer, body)
				}
			})
		}
	}
}
