package harness_test

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. Each VM reaches it at an
// address of its own, so that the connections of one VM can be disturbed alone.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
	// lastConditional is the VM that last wrote under a condition.
	lastConditional string
}

// topic is partition 0 of a topic. The offset of a record is its index.
type topic struct {
	records [][]byte
	newest  map[string]int // offset of the newest record by key
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topic returns a topic, which it creates if there is none. The caller holds mu.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

// add appends records. The caller holds mu.
func (s *store) add(name string, records ...[]byte) {
	t := s.topic(name)
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 && len(r) > int(r[0]) {
			key := string(r[1 : 1+r[0]])
			t.newest[key] = len(t.records)
			if len(r) == 1+int(r[0]) {
				delete(t.newest, key)
			}
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a keyed record, as the operator and the runners do. Without a value it
// removes the key. When it returns, the store has acknowledged the record.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// leader returns the VM that last wrote under a condition.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// entrance is the address at which one VM reaches the store.
type entrance struct {
	vm      string
	address string
	mu      sync.Mutex
	conns   map[net.Conn]http.ConnState
}

// open starts an entrance for a VM.
func (s *store) open(vm string) *entrance {
	l := listen()
	e := &entrance{vm: vm, address: l.Addr().String(), conns: make(map[net.Conn]http.ConnState)}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(vm, w, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.conns[c] = state
			if state == http.StateClosed || state == http.StateHijacked {
				delete(e.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	return e
}

// resetHalf resets half of the connections, idle ones first, and returns how many.
func (e *entrance) resetHalf() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := slices.SortedFunc(maps.Keys(e.conns), func(a, b net.Conn) int { return cmp.Compare(e.conns[b], e.conns[a]) })
	half := conns[:len(conns)/2]
	for _, c := range half {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return len(half)
}

func (s *store) serve(vm string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/dotterelridge/log-append":
		s.serveAppend(vm, w, r, q)
	case "/dotterelridge/log-read":
		s.serveRead(w, r, q)
	case "/dotterelridge/log-newest":
		s.serveNewest(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(vm string, w http.ResponseWriter, r *http.Request, q url.Values) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			break
		}
		records = append(records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if at := q.Get("at"); at != "" {
		if n, _ := strconv.Atoi(at); n != len(t.records) {
			w.WriteHeader(http.StatusPreconditionFailed)
			fmt.Fprintf(w, `{"end":%d}`, len(t.records))
			return
		}
		s.lastConditional = vm
	}
	offset := len(t.records)
	s.add(q.Get("topic"), records...)
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, len(t.records))
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, q url.Values) {
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, records := s.changed, s.topic(q.Get("topic")).records
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			writePage(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w io.Writer, records [][]byte, from int) {
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, r := range records[min(from, len(records)):] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(r)))
		page = append(page, r...)
	}
	_, _ = w.Write(page)
}

func (s *store) serveNewest(w http.ResponseWriter, q url.Values) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	for key, offset := range t.newest {
		value := t.records[offset][1+len(key):]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": end})
}
