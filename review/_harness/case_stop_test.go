package harness_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// draftEvents and draftPause make a stream of 5 s, within the pauses that
	// gap_aim_ms permits and within timeout_ms.
	draftEvents = 10
	draftPause  = 500 * time.Millisecond
	// stopClients is the number of clients, each with a connection of its own.
	stopClients = 4
	// beforeStop is how long the first streams have run when the VM is stopped.
	beforeStop = 1200 * time.Millisecond
	// lateSend is the time after SIGTERM from which the rule counts requests even if
	// their runner is still at work at the end of the grace period.
	lateSend = 3 * time.Second
)

// stopCase checks that the planned stop of a VM ends no connection whose request it has
// passed on to a runner later than 3 s after SIGTERM. Each client sends two requests, one
// after the other, on one connection.
func stopCase(f *fleet, trouble bool) error {
	f.putConfig(1, key)
	for i := range 2 {
		r := startRunner(f.store, f.log, fmt.Sprintf("i-llm-%d", i), "llm", "m-busy")
		r.answer = answerDraft
	}
	if err := f.start("vm-1", "vm-2"); err != nil {
		return err
	}
	v := f.vms[0]
	var mu sync.Mutex
	var clients sync.WaitGroup
	lost := 0
	stopped := time.Now().Add(beforeStop)
	for i := range stopClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
			for _, r := range twoDrafts(v.callers) {
				f.log.printf("sent %.3f s after SIGTERM, ended after %.3f s more: %s", r.sent.Sub(stopped).Seconds(), r.ended.Sub(r.sent).Seconds(), r.result)
				if trouble && r.status == http.StatusOK && !r.complete && r.sent.Sub(stopped) > lateSend {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Until(stopped))
	if trouble {
		f.log.printf("%s gets SIGTERM", v.name)
		v.signal(syscall.SIGTERM)
	}
	clients.Wait()
	if trouble {
		<-v.exited
		f.log.printf("%s has ended: %s", v.name, v.cmd.ProcessState)
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests sent later than 3 s after SIGTERM were passed on and have no complete answer", errBroken, lost)
	}
	return nil
}

// answerDraft streams events slowly.
func answerDraft(w http.ResponseWriter, _ *http.Request, _ []byte) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= draftEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(draftPause)
	}
}

// timedResult is a result with the times at which its request was sent and its answer
// ended.
type timedResult struct {
	result
	sent, ended time.Time
}

// twoDrafts sends two requests on one connection, the second as soon as the first has
// been answered, unless the answer says that the connection is closed after it.
func twoDrafts(address string) []timedResult {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return []timedResult{{result: result{err: err}}}
	}
	defer conn.Close()
	c := call{method: "POST", path: "/draft/2f", model: "m-busy", body: "{}", deadline: 13 * time.Second}
	reader := bufio.NewReader(conn)
	var results []timedResult
	for range 2 {
		id := newID()
		_ = conn.SetDeadline(time.Now().Add(c.deadline))
		sent := time.Now()
		if _, err := io.WriteString(conn, c.head(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body)); err != nil {
			return append(results, timedResult{result{id: id, err: err}, sent, time.Now()})
		}
		r := readAnswer(id, reader)
		results = append(results, timedResult{r, sent, time.Now()})
		if r.err != nil || r.header.Get("Connection") == "close" {
			break
		}
	}
	return results
}
