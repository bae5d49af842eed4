package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// drainTime is how long a runner serves after the store has accepted that it drains.
	drainTime = 2 * time.Second
	// drainExtra is how much longer it does so.
	drainExtra = 400 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 100 * time.Millisecond
	runnerSlots   = 128
)

// runner is a stand-in of a runner of a plain service whose answers are streams.
type runner struct {
	store                *store
	record               *record
	id, service, version string
	address              string
	born                 int64
	events               int // of each stream
	server               *http.Server
	mu                   sync.Mutex
	sequence             int
	draining, ended      bool
	// pauseAfter is the event after which a stream pauses once, for pause; 0 for none.
	pauseAfter int
	pause      time.Duration
	// refuseAfter is how long a request waits in the queue before it is turned away, 0 if the
	// runner takes requests.
	refuseAfter time.Duration
	engine      *engine // nil for a plain service
}

// startRunner registers a runner in the store and serves at address. With port 0 it takes
// a free one.
func startRunner(s *store, rec *record, id, service, version, address string, events int, e *engine) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{store: s, record: rec, id: id, service: service, version: version, address: listener.Addr().String(), born: time.Now().UnixMilli(), events: events, engine: e}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	rec.add("runner %s starts at %s with version %s", id, r.address, version)
	r.writeEntry()
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	return r, nil
}

// writeEntry writes the runner's entry to the store.
func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	document := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": r.version, "slots": runnerSlots, "state": state,
		"cold_remaining_ms": 0, "stage": "combined", "models": []any{}, "sequence": r.sequence, "born": r.born,
	}
	if r.engine != nil {
		maps.Copy(document, r.engine.describe())
	}
	entry, _ := json.Marshal(document)
	r.store.put("keyed.servers", r.id, entry)
}

func (r *runner) beat() {
	for range time.Tick(heartbeatInterval) {
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		if ended {
			return
		}
		r.writeEntry()
	}
}

// serve answers one request.
func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", r.id)
	if r.isDraining() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/health":
		return
	case r.engine != nil && req.URL.Path == "/dotterelridge/report":
		r.serveReport(w)
		return
	case r.engine != nil && req.URL.Path == "/dotterelridge/order":
		r.serveOrder(w, req)
		return
	case r.engine != nil && !r.engine.holds(req.Header.Get("X-Model")):
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", r.version+"."+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	if r.refuseAfter > 0 {
		time.Sleep(r.refuseAfter)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		r.record.add("runner %s refuses %s", r.id, id)
		return
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.record.add("runner %s (%s) runs %s from event %d on", r.id, r.version, id, last+1)
	for event := last + 1; event <= r.events; event++ {
		if r.pauseAfter > 0 && event == r.pauseAfter+1 && last < r.pauseAfter {
			time.Sleep(r.pause)
		}
		select {
		case <-time.After(eventInterval):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, r.version, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (r *runner) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// drain reports that the runner drains, and ends it after drainTime and a little longer.
func (r *runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.writeEntry()
	r.record.add("runner %s (%s) drains", r.id, r.version)
	time.Sleep(drainTime + drainExtra)
	r.crash()
	r.store.put("keyed.servers", r.id, nil)
}

// crash ends the runner without a word.
func (r *runner) crash() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.server.Close()
	r.record.add("runner %s (%s) ends", r.id, r.version)
}
