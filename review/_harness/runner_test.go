package harness_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in of a model engine or, without models, of a plain service.
type runner struct {
	id, service, address string
	store                *store
	log                  *record
	// answer answers a request that the runner runs.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	born     int64
	beat     int
	orders   int
	fence    int64
	models   []string
	loading  string
	loadedAt time.Time
	leaving  bool // says so in its answers
	silent   bool // writes no entry
	gone     bool // closes each connection
	requests []arrival
}

// arrival is a request that has reached a runner.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

const loadTime = 200 * time.Millisecond

func startRunner(s *store, log *record, id, service string, models ...string) *runner {
	l := listen()
	r := &runner{
		id: id, service: service, address: l.Addr().String(), store: s, log: log, models: models, born: time.Now().UnixMilli(),
		answer: answerPlain,
	}
	if service == "llm" {
		r.answer = answerEvents
	}
	go func() { _ = http.Serve(l, r) }()
	r.publish()
	go func() {
		for range time.Tick(heartbeat) {
			r.publish()
		}
	}()
	return r
}

// publish writes the runner's next entry, unless it is silent.
func (r *runner) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.beat++
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"stage": "combined", "models": r.modelList(), "sequence": r.beat, "born": r.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": modelNames()},
	})
	r.store.put("keyed.servers", r.id, entry)
}

// leave makes the runner leave as one that never reports draining: its entry is
// removed, it says in its answers that it leaves, and it goes on serving for a time.
// It returns when the store has acknowledged the removal.
func (r *runner) leave(serves time.Duration) time.Time {
	r.mu.Lock()
	r.silent, r.leaving = true, true
	r.mu.Unlock()
	r.store.put("keyed.servers", r.id, nil)
	acknowledged := time.Now()
	time.AfterFunc(serves, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gone = true
	})
	return acknowledged
}

// crash makes the runner lose everything. It is back under its id after some time.
func (r *runner) crash(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone, r.silent = true, true
	time.AfterFunc(after, func() {
		r.mu.Lock()
		r.gone, r.silent = false, false
		r.born, r.beat, r.orders, r.fence, r.models, r.loading = time.Now().UnixMilli(), 0, 0, 0, nil, ""
		r.mu.Unlock()
		r.publish()
	})
}

func (r *runner) arrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// modelList returns the models as they are listed. The caller holds mu.
func (r *runner) modelList() []map[string]any {
	r.finishLoad()
	list := []map[string]any{}
	for _, m := range r.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (r *runner) finishLoad() {
	if r.loading != "" && time.Since(r.loadedAt) >= 0 {
		r.models, r.loading = append(r.models, r.loading), ""
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	gone, leaving := r.gone, r.leaving
	r.mu.Unlock()
	if gone {
		closeConn(w, false)
		return
	}
	if leaving {
		w.Header()["Server-Leaving"] = []string{"1"}
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/dotterelridge/report":
		r.serveReport(w)
	case "/dotterelridge/order":
		r.serveOrder(w, body)
	default:
		r.serveRequest(w, req, body)
	}
}

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoad()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "combined", "models": r.modelList(), "busy": r.loading != "", "sequence": r.orders, "born": r.born,
		"waiting_requests": 0, "running_requests": 0, "kv_used": 0, "kv_total": 90000, "handles": 0,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": modelNames()},
	})
}

func (r *runner) serveOrder(w http.ResponseWriter, body []byte) {
	var order struct {
		Operation, Model, Holder string
		Expect                   *int
		Fence                    int64 `json:"fencing_token"`
	}
	_ = json.Unmarshal(body, &order)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoad()
	status := r.applyOrder(order.Operation, order.Model, order.Expect, order.Fence)
	r.log.printf("%s: order %s %s of %s with token %d: %d", r.id, order.Operation, order.Model, order.Holder, order.Fence, status)
	w.WriteHeader(status)
}

// applyOrder carries out an order and returns its status. The caller holds mu.
func (r *runner) applyOrder(operation, model string, expect *int, fence int64) int {
	switch {
	case fence < r.fence:
		return http.StatusPreconditionFailed
	case operation == "load" && slices.Contains(r.models, model):
		return http.StatusOK
	case r.loading != "" || expect != nil && *expect != r.orders:
		return http.StatusConflict
	}
	r.fence = fence
	r.orders++
	if operation == "load" {
		r.loading, r.loadedAt = model, time.Now().Add(loadTime)
	} else {
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == model })
	}
	return http.StatusAccepted
}

func (r *runner) serveRequest(w http.ResponseWriter, req *http.Request, body []byte) {
	model, _, _ := strings.Cut(req.Header.Get("X-Model"), "/")
	r.mu.Lock()
	r.finishLoad()
	holds := model == "" || slices.Contains(r.models, model)
	a := arrival{req.Header.Get("X-Request-Id"), time.Now(), holds}
	r.requests = append(r.requests, a)
	r.mu.Unlock()
	r.log.printf("%s: %s %s, request %s, model %q, %d bytes, run %t", r.id, req.Method, req.URL, a.id, model, len(body), holds)
	if !holds {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", a.id)
	w.Header().Set("X-Response-Seal", "seal-"+r.id)
	r.answer(w, req, body)
}

func answerPlain(w http.ResponseWriter, _ *http.Request, _ []byte) { _, _ = io.WriteString(w, "ok") }

// eventCount is the number of events in a stream.
const eventCount = 10

// answerEvents streams the events after the last one that the client has.
func answerEvents(w http.ResponseWriter, r *http.Request, _ []byte) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= eventCount; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
	}
}

// closeConn closes the connection of a request, with a reset or in order.
func closeConn(w http.ResponseWriter, reset bool) {
	conn := hijack(w)
	if t, ok := conn.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(fmt.Sprintf("hijack: %v", err))
	}
	return conn
}
