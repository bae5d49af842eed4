package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxNewestItems is how many records one answer of log-newest holds.
const maxNewestItems = 500

// keyedPrefix begins the names of topics whose records have keys.
const keyedPrefix = "keyed."

// topic is one topic of the store with its only partition.
type topic struct{ records [][]byte }

// store is a stand-in of the platform's log: it loses nothing and answers at once.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed with each append
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topicOf returns a topic, which it creates. The caller holds mu.
func (s *store) topicOf(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// add appends records and wakes the readers. The caller holds mu.
func (s *store) add(t *topic, records [][]byte) (first int) {
	first = len(t.records)
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// put appends a keyed record, as the operator and the runners do. No value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.add(s.topicOf(name), [][]byte{append(record, value...)})
}

// handler returns the HTTP interface of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /dotterelridge/log-append", s.serveAppend)
	mux.HandleFunc("GET /dotterelridge/log-read", s.serveRead)
	mux.HandleFunc("GET /dotterelridge/log-newest", s.serveNewest)
	return mux
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	first := s.add(t, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		available, changed := len(s.topicOf(query.Get("topic")).records) > from, s.changed
		s.mu.Unlock()
		if available {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(query.Get("topic"))
	page := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, record := range t.records[min(from, len(t.records)):] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
		page = append(page, record...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(page)
}

// newestItem is one record in an answer of log-newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	t := s.topicOf(name)
	items, at := []newestItem{}, make(map[string]int)
	for offset, record := range t.records {
		if !strings.HasPrefix(name, keyedPrefix) || len(record) == 0 {
			continue
		}
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if i, known := at[key]; known {
			items[i].Key = ""
		}
		at[key] = len(items)
		if len(value) == 0 {
			delete(at, key)
			continue
		}
		items = append(items, newestItem{key, base64.StdEncoding.EncodeToString(value), offset})
	}
	newest := []newestItem{}
	for _, item := range items {
		if item.Key != "" && len(newest) < maxNewestItems {
			newest = append(newest, item)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": newest, "more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
