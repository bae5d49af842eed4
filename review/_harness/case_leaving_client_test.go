package harness_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// leaveAfter is when the client leaves: half of the route's target_latency_ms.
	leaveAfter = 150 * time.Millisecond
	// crashAfter is how long the request runs until it crashes its runner.
	crashAfter = 250 * time.Millisecond
	// leavingPause is the time between two requests of that client.
	leavingPause = 2500 * time.Millisecond
	// leavingTimes is how often it comes.
	leavingTimes = 12
	// stayingClients is the number of clients that send sound requests and stay, so that
	// one of five leaves.
	stayingClients = 4
)

// leavingClientCase checks the same as poisonCase. The disruption lets the client leave
// before its runner crashes, each time.
func leavingClientCase(f *fleet, trouble bool) error {
	f.putConfig(1, key)
	p := &poisonRun{retries: make(map[string]bool), inTouch: make(map[string]bool)}
	for i := range 4 {
		r := startRunner(f.store, f.log, fmt.Sprintf("i-app-%d", i), "app")
		r.answer = func(w http.ResponseWriter, req *http.Request, body []byte) {
			if string(body) != poisonBody {
				answerPlain(w, req, body)
				return
			}
			time.Sleep(crashAfter)
			p.crash(r, req.Header.Get("X-Request-Id"))
			closeConn(w, true)
		}
	}
	if err := f.start("vm-1", "vm-2", "vm-3"); err != nil {
		return err
	}
	c := call{method: "POST", path: "/buy/2f", body: poisonBody, deadline: 3 * time.Second}
	for i := range leavingTimes {
		f.sendSound(i)
		v, id := f.vms[i%len(f.vms)], newID()
		p.mu.Lock()
		p.inTouch[id] = true
		p.mu.Unlock()
		if !trouble {
			f.log.printf("a client sends the request that crashes runners to %s: %s", v.name, c.sendAs(v.callers, id))
		} else if err := c.sendAndLeave(v.callers, id); err != nil {
			return err
		} else {
			f.log.printf("a client sends the request that crashes runners to %s as %s and leaves after %s", v.name, id, leaveAfter)
		}
		time.Sleep(leavingPause)
	}
	return p.result(f)
}

// sendSound sends the sound requests of the clients that stay, in a round.
func (f *fleet) sendSound(round int) {
	for i := range stayingClients {
		c := call{method: "POST", path: "/buy/2f", body: fmt.Sprintf(`{"order":"%d-%d"}`, round, i), deadline: 3 * time.Second}
		f.log.printf("%s", c.send(f.vms[i%len(f.vms)].callers))
	}
}

// sendAndLeave sends a request and closes the connection after leaveAfter.
func (c call) sendAndLeave(address, id string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, c.head(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body)); err != nil {
		return err
	}
	time.Sleep(leaveAfter)
	return nil
}
