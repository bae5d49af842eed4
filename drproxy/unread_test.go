package drproxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// countingDialer refuses and counts connections to runners.
type countingDialer struct{ dials int }

func (d *countingDialer) Dial(context.Context, string) (net.Conn, error) {
	d.dials++
	return nil, errors.New("no runner is reachable")
}

// serveUnread lets a request lie unread for a time before it is served, as on a
// VM without processor time, and returns the client's end and the number of
// connections to runners.
func serveUnread(t *testing.T, unread time.Duration, leaves bool) (client *memoryConn, dials int) {
	t.Helper()
	startDateLoop()
	w := newOrderWorld(1)
	w.configure(1, rand.New(rand.NewPCG(1, 1)))
	for _, r := range w.runners {
		w.describe(r, 1, "m")
	}
	dialer := &countingDialer{}
	w.server.pool.dialer = dialer
	client, conn := newMemoryPipe()
	writeAll(client, "POST /get/x HTTP/1.1\r\nHost: h\r\nId: x\r\nDeadline: 500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(unread)
	if leaves {
		_ = client.Close()
	}
	w.server.ServeConn(conn)
	return client, dialer.dials
}

// Guards against a request that is sent to a runner although its client has left
// while it lay unread. Flood seeds 7003 and 7006 had dozens of them.
func TestUnreadRequestOfGoneClientIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, dials := serveUnread(t, 100*time.Millisecond, true)
		is.Equal(dials, 0)
		_, dials = serveUnread(t, 100*time.Millisecond, false)
		is.True(dials > 0)
	})
}

// Guards against time unread that does not count against the deadline: a request
// whose time has passed meanwhile must be refused as not run, not sent on.
func TestTimeUnreadCountsAgainstDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, dials := serveUnread(t, 600*time.Millisecond, false)
		is.Equal(dials, 0)
		answer, err := io.ReadAll(client)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(answer), "HTTP/1.1 503"))
	})
}

// Guards against a request that is held until its client loses patience although
// its model is expected only later: it must be refused at once, so that the client
// can come back. On one day 33 requests were held for 2.4 s each.
func TestRefusesWhatOutlastsPatience(t *testing.T) {
	startDateLoop()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newOrderWorld(1)
		w.configure(1, rand.New(rand.NewPCG(1, 1)))
		w.describe(w.runners["3"], 1, "m")
		ask := func(expected time.Duration) (status string, took time.Duration) {
			w.view.SetForecast(drfleetview.Replica{Service: "llm", Model: "cold"}, expected)
			client, conn := newMemoryPipe()
			writeAll(client, "POST /stream/on/x HTTP/1.1\r\nHost: h\r\nId: x\r\nModel: cold\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			began := time.Now()
			w.server.ServeConn(conn)
			answer, err := io.ReadAll(client)
			is.NoErr(err)
			return string(answer[9:12]), time.Since(began)
		}
		status, took := ask(orderPatience + 100*time.Millisecond)
		is.Equal(status, "503")
		is.Equal(took, time.Duration(0))
		_, took = ask(100 * time.Millisecond)
		is.True(took > 0)
		is.True(took < orderPatience)
	})
}
