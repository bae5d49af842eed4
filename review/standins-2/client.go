package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	connectTimeout = time.Second
	// streamDeadline is how long a client waits for the whole stream.
	streamDeadline = 13 * time.Second
	// retryPause is the pause before a client tries again.
	retryPause = 50 * time.Millisecond
	// maxTries is how often a client sends its request: once, and one retry.
	maxTries = 2
)

// attempt is one client attempt of a stream.
type attempt struct {
	edge   int
	sentAt time.Time
	// endedAt is when the answer or its connection ended.
	endedAt time.Time
	status  int
	events  int
}

// stream is what one client got over all of its attempts.
type stream struct {
	attempts []attempt
	// versions counts the events by the version of the runner that wrote them.
	versions map[string]int
	complete bool
	err      string // that of the last attempt
}

// clients opens streams through the edges and keeps what came of them.
type clients struct {
	record *record
	path   string
	key    string
	events int // of each stream
	// alike is set if all clients ask for the same: GET at the path, without a query.
	alike bool
	// model is the model that they ask for, "" for a plain service.
	model string
	// deadline is how long a client waits for the whole stream, streamDeadline if it is 0.
	deadline time.Duration
	mu       sync.Mutex
	all      []*stream
	wg       sync.WaitGroup
}

// open runs one stream in the background. Its attempts go to the edges in the given order.
func (c *clients) open(edges []string, order ...int) {
	st := &stream{versions: make(map[string]int)}
	c.mu.Lock()
	c.all = append(c.all, st)
	c.mu.Unlock()
	c.wg.Go(func() { c.run(st, edges, order) })
}

// run makes the attempts of a stream until it is complete.
func (c *clients) run(st *stream, edges []string, order []int) {
	began, last, first := time.Now(), 0, ""
	request := fmt.Sprintf("POST %s?stream=%016x HTTP/1.1\r\nContent-Length: 0\r\n", c.path, rand.Uint64())
	if c.alike {
		request = fmt.Sprintf("GET %s HTTP/1.1\r\n", c.path)
	}
	for try := range min(maxTries, len(order)) {
		left := cmp.Or(c.deadline, streamDeadline) - time.Since(began)
		id := fmt.Sprintf("%016x", rand.Uint64())
		a := attempt{edge: order[try], sentAt: time.Now()}
		head := request + fmt.Sprintf("Host: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n",
			id, left.Milliseconds())
		if c.key != "" {
			head += "Authorization: Bearer " + c.key + "\r\n"
		}
		if c.model != "" {
			head += "X-Model: " + c.model + "\r\nX-Token-Counts: 646,70\r\n"
		}
		if last > 0 {
			head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
		}
		c.record.add("client sends %s to edge %d, last event %d, resumes %q", id, a.edge, last, first)
		before := last
		c.mu.Lock()
		st.attempts = append(st.attempts, a)
		c.mu.Unlock()
		err := c.receive(st, try, edges[order[try]], head+"\r\n", left, &last)
		st.attempts[try].endedAt = time.Now()
		if first == "" && last > before {
			first = id
		}
		c.record.add("client attempt %s ends with status %d, last event %d, error %v", id, st.attempts[try].status, last, err)
		if err == nil {
			st.complete = last == c.events
			return
		}
		st.err = err.Error()
		time.Sleep(retryPause)
	}
}

// receive sends one attempt and reads its events.
func (c *clients) receive(st *stream, try int, edge, head string, left time.Duration, last *int) error {
	conn, err := net.DialTimeout("tcp", edge, connectTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(left))
	if _, err := conn.Write([]byte(head)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	st.attempts[try].status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var version string
		var id int
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		if _, err := fmt.Sscanf(lines.Text(), "data: %s %d", &version, &id); err != nil {
			return err
		}
		*last = id
		st.attempts[try].events++
		c.mu.Lock()
		st.versions[version]++
		c.mu.Unlock()
	}
	return lines.Err()
}
