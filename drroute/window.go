package drroute

import "sync"

const (
	windowFirst = 8 // requests in flight for a runner without a report
	windowMax   = 512
	maxWindows  = 16384 // runners; exceeds the target size
)

// window bounds the requests in flight to one runner.
type window struct {
	limit    int
	inflight int
	sent     int    // since the last report
	version  uint64 // of the last report
	instance string
}

// windows holds the dispatch window of each runner. It grows by one with each
// report without waiting requests and halves with each that has some.
type windows struct {
	mu      sync.Mutex
	byAddr  map[string]*window
	changed chan struct{}
}

func newWindows() *windows {
	return &windows{byAddr: make(map[string]*window), changed: make(chan struct{})}
}

func (w *windows) get(r Runner) *window {
	x := w.byAddr[r.Address]
	if x == nil {
		if len(w.byAddr) >= maxWindows {
			w.prune()
		}
		x = &window{limit: max(r.Capacity, windowFirst), version: r.Version, instance: r.Instance}
		w.byAddr[r.Address] = x
	}
	if r.Version > x.version || r.Instance != x.instance {
		x.version, x.instance, x.sent = r.Version, r.Instance, 0
		if r.Waiting > 0 {
			x.limit = max(x.limit/2, 1)
		} else {
			x.limit = min(x.limit+1, windowMax)
		}
	}
	return x
}

func (w *windows) prune() {
	for a, x := range w.byAddr {
		if x.inflight == 0 {
			delete(w.byAddr, a)
		}
	}
}

// load returns the requests sent to r since its last report.
func (w *windows) load(r Runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.get(r).sent
}

// size returns the requests that may be in flight to r.
func (w *windows) size(r Runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.get(r).limit
}

// acquire takes a place in the window of r.
func (w *windows) acquire(r Runner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.get(r)
	if x.inflight >= x.limit {
		return false
	}
	x.inflight++
	x.sent++
	return true
}

// undo gives back a place that was not used. It wakes no waiter: the one that
// gives back would wake itself.
func (w *windows) undo(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.byAddr[addr]; x != nil {
		x.inflight--
		x.sent = max(x.sent-1, 0)
	}
}

// release gives back a place and wakes the waiters.
func (w *windows) release(addr string) {
	w.undo(addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *windows) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}
