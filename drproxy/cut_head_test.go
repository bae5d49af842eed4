package drproxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// cutAnswers are answers whose heads are cut. A shorter Content-Length, a missing
// Transfer-Encoding, or an early empty line would make a part of the body look whole.
var cutAnswers = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\nContent-Length: 123\r\n\r\n",
	"length and type": "HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\nContent-Length: 123\r\nContent-Type: text/event-stream\r\n\r\n",
	"chunks":          "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
	"until close":     "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	"bare newlines":   "HTTP/1.1 200 OK\nId: x\nSeal: s\nContent-Length: 123\n\n",
	"no length":       "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n\r\n",
	"interim":         "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n\r\n",
}

// Guards against a runner that stops in the middle of its answer's head and closes, or
// is reset: the client must not get what came as a whole answer.
func TestCutHeadIsNoAnswer(t *testing.T) {
	prepareBubble()
	for name, answer := range cutAnswers {
		for _, path := range []string{"/get/x", "/pay/x", "/stream/on/x", "/stream/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				for cut := range len(answer) {
					for _, end := range []func(*memoryConn){func(c *memoryConn) { _ = c.Close() }, (*memoryConn).Reset} {
						synctest.Test(t, func(t *testing.T) { playCutHead(t, path, answer[:cut], end) })
					}
				}
			})
		}
	}
}

func playCutHead(t *testing.T, path, head string, end func(*memoryConn)) {
	is := is.New(t)
	w := newScriptedWorld(func(conn *memoryConn, _ string) {
		writeAll(conn, head)
		end(conn)
	})
	defer w.close(t)
	o, _ := w.ask(path, "x")
	if o.status != 200 || !o.complete {
		return
	}
	if want := wholeBody("x", path); o.body != want {
		is.Equal(fmt.Sprintf("%q after %q", o.body, head), fmt.Sprintf("%q", want)) // framed as whole
	}
	is.True(strings.HasPrefix(path, "/get/") || strings.HasPrefix(path, "/stream/on/")) // others have one attempt
}
