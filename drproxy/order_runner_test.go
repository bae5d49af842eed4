package drproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// behavior is how a runner treats one request.
type behavior int

const (
	answersWhole behavior = iota
	answersThenCloses
	answersUntilClose // no length: the body ends with the connection
	answersTwice      // the second copy comes late
	answersStrayFirst // an answer to another request precedes
	answersInterim    // a 1xx answer precedes
	answersError
	refusesFull
	refusesMissing
	answersUnsigned
	breaksBeforeAnswer
	breaksInAnswer
	closesInAnswer
	staysSilent
	silentInAnswer
	endlessInAnswer // bytes without end follow the beginning of the answer
	repeatsEvents   // the last event sent follows again and again
	breaksLate      // the answer breaks off after a silence
	behaviorCount
)

// runRecord is one request that a runner began to run.
type runRecord struct {
	runner string
	conn   *memoryConn // the runner's end
	// whole is set once all of a successful answer was written to a connection
	// that the VM had not closed; then wholeAt is when.
	whole   bool
	wholeAt time.Time
	// faulty is set if the runner's behavior alone can end the client's answer
	// early.
	faulty bool
	// crashed is set if the runner ended the connection instead of its answer.
	crashed bool
	// unlisted is set if the runner was not listed at that moment, so that its end was announced.
	unlisted bool
	// ended is set if the VM closed the connection before the answer was whole.
	ended bool
}

// orderRunner is a runner that draws its behavior for each request from random.
type orderRunner struct {
	id, address string
	world       *orderWorld

	mu     sync.Mutex
	random *rand.Rand
}

func (r *orderRunner) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// pick returns a behavior; three of four requests get a whole answer.
func (r *orderRunner) pick() behavior {
	if r.draw(4) > 0 {
		return answersWhole
	}
	return behavior(r.draw(int(behaviorCount)))
}

// pause sleeps for a random time, mostly short.
func (r *orderRunner) pause() {
	limit := []int{1, 5, 20, 300}[r.draw(4)]
	time.Sleep(time.Duration(r.draw(limit)) * time.Millisecond)
}

// Dial implements Dialer for the world's runners.
func (w *orderWorld) Dial(ctx context.Context, address string) (net.Conn, error) {
	r := w.runners[address]
	if r == nil || r.draw(40) == 0 {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if r.draw(60) == 0 { // no answer to the connection request
		<-ctx.Done()
		return nil, ctx.Err()
	}
	vm, own := newMemoryPipe()
	w.running.Go(func() { r.serve(own) })
	return vm, nil
}

// serve answers the requests of one connection until either side ends it.
func (r *orderRunner) serve(conn *memoryConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		var header fasthttp.RequestHeader
		if header.Read(reader) != nil {
			return
		}
		if n := header.ContentLength(); n > 0 {
			if _, err := io.CopyN(io.Discard, reader, int64(n)); err != nil {
				return
			}
		}
		if !r.answer(conn, &header) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection stays open.
func (r *orderRunner) answer(conn *memoryConn, header *fasthttp.RequestHeader) bool {
	id, chosen := string(header.Peek(idHeader)), r.pick()
	r.pause()
	switch chosen {
	case refusesFull:
		return writeAll(conn, plainText(id, 503, notExecutedHeader+": 1\r\n", "full"))
	case refusesMissing:
		return writeAll(conn, plainText(id, 421, "", "missing"))
	}
	if closedAt, _ := conn.peer.closeState(); !closedAt.IsZero() {
		return false // the VM has given the request up before it began to run
	}
	run := r.world.beginRun(id, r.id, conn)
	switch chosen {
	case breaksBeforeAnswer:
		run.fault()
		run.crash()
		conn.Reset()
		return false
	case staysSilent:
		run.fault()
		<-conn.Done()
		return false
	case answersError:
		run.fault()
		return writeAll(conn, plainText(id, 500, sealHeader+": s\r\n", "error"))
	case answersUnsigned:
		run.fault()
		return writeAll(conn, plainText(id, 200, "", "nobody's"))
	case answersStrayFirst:
		writeAll(conn, plainText("other", 200, sealHeader+": s\r\n", "of another request"))
	case answersInterim:
		writeAll(conn, "HTTP/1.1 102 Processing\r\n\r\n")
	}
	last, _ := strconv.Atoi(string(header.Peek(lastEventHeader)))
	parts := answerParts(id, string(header.RequestURI()), last, chosen)
	return r.writeParts(conn, run, parts, chosen)
}

// writeParts writes the parts of an answer with pauses, as far as the behavior
// goes.
func (r *orderRunner) writeParts(conn *memoryConn, run *worldRun, parts []string, chosen behavior) bool {
	broken := chosen >= breaksInAnswer && chosen != staysSilent
	if broken {
		run.fault()
	}
	for i, part := range parts {
		if broken && i == len(parts)-1 {
			if chosen != repeatsEvents {
				writeAll(conn, part[:len(part)/2])
			}
			return r.breakOff(conn, run, chosen, parts[max(i-1, 0)])
		}
		if i > 0 {
			r.pause()
		}
		if !writeAll(conn, part) {
			run.end()
			return false
		}
	}
	run.complete()
	if chosen == answersTwice {
		r.pause()
		return writeAll(conn, strings.Join(parts, ""))
	}
	return chosen != answersThenCloses && chosen != answersUntilClose
}

// breakOff does what the behavior does instead of ending the answer. It returns
// false: the connection takes no further request.
func (r *orderRunner) breakOff(conn *memoryConn, run *worldRun, chosen behavior, lastPart string) bool {
	switch chosen {
	case breaksLate:
		select {
		case <-time.After(time.Duration(r.draw(2000)) * time.Millisecond):
			run.crash()
			conn.Reset()
		case <-conn.Done():
		}
	case endlessInAnswer:
		for writeAll(conn, strings.Repeat("e", 16<<10)) {
			time.Sleep(time.Millisecond)
		}
	case repeatsEvents:
		for strings.Contains(lastPart, "id: ") && writeAll(conn, lastPart) {
			time.Sleep(20 * time.Millisecond)
		}
		<-conn.Done()
	case breaksInAnswer, closesInAnswer:
		run.crash()
		if chosen == breaksInAnswer {
			conn.Reset()
		}
	case silentInAnswer:
		<-conn.Done()
	}
	return false
}

// answerParts returns the pieces in which a successful answer is written. The
// answer of a route whose path begins with /stream/ has one part an event.
func answerParts(id, path string, last int, chosen behavior) []string {
	closing := ""
	if chosen == answersThenCloses {
		closing = "Connection: close\r\n"
	}
	if !strings.HasPrefix(path, "/stream/") {
		body := wholeBody(id, path)
		if chosen == answersUntilClose {
			return []string{fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nConnection: close\r\n\r\n", idHeader, id, sealHeader), body}
		}
		answer := plainText(id, 200, sealHeader+": s\r\n"+closing, body)
		return []string{answer[:len(answer)/3], answer[len(answer)/3:]}
	}
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%sContent-Type: text/event-stream\r\n", idHeader, id, sealHeader, closing)
	if chosen == answersUntilClose {
		parts := []string{header + "Connection: close\r\n\r\n"}
		for i := last + 1; i <= orderEvents; i++ {
			parts = append(parts, eventText(i))
		}
		return parts
	}
	parts := []string{header + "Transfer-Encoding: chunked\r\n\r\n"}
	for i := last + 1; i <= orderEvents; i++ {
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(eventText(i)), eventText(i)))
	}
	parts[len(parts)-1] += "0\r\n\r\n"
	return parts
}

// orderEvents is the number of events of each stream.
const orderEvents = 4

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// wholeBody returns the body of the complete answer to a request.
func wholeBody(id, path string) string {
	if !strings.HasPrefix(path, "/stream/") {
		return "done " + id
	}
	var b strings.Builder
	for i := 1; i <= orderEvents; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}

func plainText(id string, status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, id, extra, len(body), body)
}

func writeAll(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
