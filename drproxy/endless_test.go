package drproxy

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// scriptedRunner answers each request by what script writes.
type scriptedRunner func(conn *memoryConn, id string)

// scriptedDialer connects to scripted runners by address.
type scriptedDialer struct {
	runners map[string]scriptedRunner
	running *sync.WaitGroup
}

// Dial implements Dialer.
func (d scriptedDialer) Dial(_ context.Context, address string) (net.Conn, error) {
	vm, own := newMemoryPipe()
	d.running.Go(func() {
		defer own.Close()
		reader := bufio.NewReader(own)
		for {
			var header fasthttp.RequestHeader
			if header.Read(reader) != nil {
				return
			}
			d.runners[address](own, string(header.Peek(idHeader)))
		}
	})
	return vm, nil
}

// newScriptedWorld returns a world whose first runner of each service follows a
// script, and whose second answers whole. The first is the one that requests
// prefer.
func newScriptedWorld(script scriptedRunner) *orderWorld {
	w := newOrderWorld(1)
	w.configureAttempts(1, 3, rand.New(rand.NewPCG(1, 1)))
	d := scriptedDialer{running: &w.running, runners: make(map[string]scriptedRunner)}
	for service, addresses := range map[string][2]string{"app": {"0", "1"}, "llm": {"3", "4"}} {
		prefix := map[string]string{"app": "/get/", "llm": "/stream/"}[service]
		d.runners[addresses[0]] = script
		d.runners[addresses[1]] = func(conn *memoryConn, id string) {
			writeAll(conn, strings.Join(answerParts(id, prefix+id, 0, answersWhole), ""))
		}
		for i, a := range addresses {
			w.describe(w.runners[a], 1, "m")
			w.view.SetLoad(w.runners[a].id, 2*i, 0)
		}
	}
	w.server.pool.dialer = d
	return w
}

// close ends the VM and its runners, and checks that no memory stays taken.
func (w *orderWorld) close(t *testing.T) {
	w.server.Close()
	w.running.Wait()
	if left := w.server.memory.left.Load(); left != defaultLargeMessages {
		t.Errorf("%d bytes for large messages stay taken", defaultLargeMessages-left)
	}
}

// ask sends a request and returns the status and body of its answer, and how long
// it took.
func (w *orderWorld) ask(path, id string) (o *orderOutcome, took time.Duration) {
	return w.askFor("m", path, id)
}

// askFor is ask for a model.
func (w *orderWorld) askFor(model, path, id string) (o *orderOutcome, took time.Duration) {
	client, conn := newMemoryPipe()
	w.running.Go(func() { w.server.ServeConn(conn) })
	began := time.Now()
	writeAll(client, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nModel: %s\r\nDeadline: 3000\r\nContent-Length: 0\r\n\r\n", path, id, model))
	o = &orderOutcome{id: id, path: path}
	o.read(bufio.NewReader(client))
	took = time.Since(began)
	_ = client.Close()
	return o, took
}

// prepareBubble does what would disturb the time of a synctest bubble.
func prepareBubble() {
	log.SetHandler(discard.Default)
	startDateLoop()
}

// repeat writes text every millisecond until the connection ends.
func repeat(conn *memoryConn, text string) {
	for writeAll(conn, text) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that a runner has refused, and that waits for the end
// of the refusal's endless body instead of going to the next runner.
func TestEndlessRefusalMovesOn(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			writeAll(conn, fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, id, notExecutedHeader))
			repeat(conn, "1\r\nx\r\n")
		})
		defer w.close(t)
		o, took := w.ask("/pay/x", "x")
		is.Equal(o.status, 200)
		is.True(took < 100*time.Millisecond)
	})
}

// Guards against a stalled stream that never moves to another runner because the
// runner goes on sending comments, or events that the client has.
func TestBytesAreNoProgress(t *testing.T) {
	prepareBubble()
	for name, filler := range map[string]string{"comments": ": alive\n\n", "old events": "id: 1\ndata: piece 1\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(func(conn *memoryConn, id string) {
					writeAll(conn, answerParts(id, "/stream/", 0, answersWhole)[0])
					writeAll(conn, fmt.Sprintf("%x\r\n%s\r\n", len(eventText(1)), eventText(1)))
					for writeAll(conn, fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)) {
						time.Sleep(50 * time.Millisecond)
					}
				})
				defer w.close(t)
				o, took := w.ask("/stream/on/x", "x")
				is.True(o.complete)
				is.True(strings.HasSuffix(o.body, eventText(orderEvents)))
				is.True(took < 1500*time.Millisecond)
			})
		})
	}
}

// endlessAnswers are the beginnings of answers, and what follows without end.
var endlessAnswers = map[string]struct{ begin, repeated string }{
	"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"header":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"header line":     {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 4<<10)},
	"no answer":       {"", strings.Repeat("\x00", 4<<10)},
	"body":            {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("b", 64<<10)},
	"open body":       {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\n\r\n", strings.Repeat("b", 64<<10)},
	"chunks":          {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"extension":       {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("e", 1<<10)},
	"trailer":         {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n"},
	"stray bodies":    {"", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: y\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("s", 100000)},
	"one event":       {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\n\r\nid: 1\ndata: ", strings.Repeat("e", 64<<10)},
	"comments":        {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\n\r\n", strings.Repeat(": alive\n\n", 1<<10)},
}

// Guards against a request that never ends, or takes ever more memory, because a
// runner sends bytes without end: fast, and a byte at a time.
func TestEndlessAnswersEnd(t *testing.T) {
	prepareBubble()
	for name, answer := range endlessAnswers {
		for _, path := range []string{"/get/x", "/pay/x", "/stream/on/x", "/stream/once/x"} {
			for _, slow := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s,slow=%t", name, path, slow), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playEndless(t, path, answer.begin, answer.repeated, slow) })
				})
			}
		}
	}
}

func playEndless(t *testing.T, path, begin, repeated string, slow bool) {
	is := is.New(t)
	w := newScriptedWorld(func(conn *memoryConn, _ string) {
		writeAll(conn, begin)
		if !slow {
			repeat(conn, repeated)
		}
		for i := 0; writeAll(conn, repeated[i:i+1]); i = (i + 1) % len(repeated) {
			time.Sleep(time.Second / 4)
		}
	})
	defer w.close(t)
	o, took := w.ask(path, "x")
	is.True(took <= 3*time.Second+answerSlack) // the deadline, and time to answer
	is.True(o.status != 0)
	if strings.HasPrefix(path, "/get/") && !slow {
		is.Equal(o.status, 200) // from the other runner
	}
}

// Guards against a VM that runs out of memory because many runners send answers
// without end at once. Answers of usual size must go on being served.
func TestEndlessAnswersShareMemory(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			if id == "small" {
				writeAll(conn, plainText(id, 200, sealHeader+": s\r\n", "done"))
				return
			}
			writeAll(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nSeal: s\r\nId: %s\r\n\r\n", id))
			repeat(conn, strings.Repeat("b", 16<<10))
		})
		defer w.close(t)
		const endless = 300
		least := int64(defaultLargeMessages)
		for i := range endless {
			w.running.Go(func() { w.ask("/pay/x", fmt.Sprint(i)) })
		}
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			least = min(least, w.server.memory.left.Load())
			o, _ := w.ask("/pay/x", "small")
			is.Equal(o.status, 200)
		}
		is.True(least < defaultLargeMessages/4) // the answers met their common bound
		is.True(least >= -endless*maxAnswerBody/64)
	})
}
