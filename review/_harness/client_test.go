package harness_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const key = "i9n73hh2b9wu3fexd9dn"

var requestNumber atomic.Int64

// call is a request of a client.
type call struct {
	method, path, model, body string
	deadline                  time.Duration
}

// result is what a client has got. complete is set if the answer was read to its
// stated end.
type result struct {
	id       string
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

func (r result) String() string {
	if r.err != nil && r.status == 0 {
		return fmt.Sprintf("request %s: no answer: %v", r.id, r.err)
	}
	return fmt.Sprintf("request %s: status %d, seal %q, %d bytes, complete %t, %s", r.id, r.status, r.header.Get("X-Response-Seal"), len(r.body), r.complete,
		strings.TrimSpace(string(r.body[:min(len(r.body), 40)])))
}

// newID returns the id of a further client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)) }

// head returns the header of a request, up to the framing of its body.
func (c call) head(id string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, id, c.deadline.Milliseconds(), key)
	if c.model != "" {
		h += fmt.Sprintf("X-Model: %s\r\nX-Token-Counts: 100,50\r\nX-Prompt-Prefix: 5c1e07a2:80,%s:20\r\n", c.model, id[8:])
	}
	return h
}

// send sends a request on a new connection and reads the answer.
func (c call) send(address string) result { return c.sendAs(address, newID()) }

// sendAs is send with a given request id.
func (c call) sendAs(address, id string) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{id: id, err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(conn, c.head(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body)); err != nil {
		return result{id: id, err: err}
	}
	return readAnswer(id, bufio.NewReader(conn))
}

func readAnswer(id string, reader *bufio.Reader) result {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return result{id: id, err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return result{id, resp.StatusCode, resp.Header, body, err == nil, err}
}
