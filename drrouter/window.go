package drrouter

import "sync"

const (
	// windowFirst is the window for a runner without a report, and the least
	// that an unused window falls to, so that a burst at one VM starts at once.
	windowFirst = 8
	windowMax   = 512   // for a runner that reports no capacity
	maxWindows  = 16384 // runners; exceeds the target size
)

// window bounds the requests in flight to one runner.
type window struct {
	limit    int
	inflight int
	peak     int    // most in flight since the last report
	sent     int    // since the last report
	version  uint64 // of the last report
	instance string
}

// windows holds the dispatch window of each runner. With each report it is set
// to this VM's part of the runner's capacity: its requests in flight, scaled
// by capacity over running and waiting requests. All VMs together then fill
// the batch without queueing in the engine, which is not fair. It grows only
// while it is used up; an unused one falls back, because a large window that
// was never needed would let a burst of one account through.
type windows struct {
	// vms returns how many VMs send to the same runners.
	vms func() int

	mu      sync.Mutex
	byAddr  map[string]*window
	changed chan struct{}
}

func newWindows(vms func() int) *windows {
	if vms == nil {
		vms = func() int { return 1 }
	}
	return &windows{vms: vms, byAddr: make(map[string]*window), changed: make(chan struct{})}
}

// base is the window without use: an equal part of the capacity, but enough to
// start a burst.
func (w *windows) base(r Runner) int {
	if r.Capacity <= 0 {
		return windowFirst
	}
	return min(r.Capacity, max(windowFirst, r.Capacity/max(1, w.vms())))
}

func (w *windows) get(r Runner) *window {
	x := w.byAddr[r.Address]
	if x == nil {
		if len(w.byAddr) >= maxWindows {
			w.prune()
		}
		x = &window{limit: w.base(r), version: r.Version, instance: r.Instance}
		w.byAddr[r.Address] = x
	}
	if r.Version > x.version || r.Instance != x.instance {
		x.version, x.instance = r.Version, r.Instance
		x.adjust(r, w.base(r))
		x.sent, x.peak = 0, x.inflight
	}
	return x
}

// adjust follows a report.
func (x *window) adjust(r Runner, base int) {
	most := windowMax
	if r.Capacity > 0 {
		most = r.Capacity
	}
	part := most
	if total := r.Running + r.Waiting; total > 0 {
		part = x.peak * most / total
	}
	switch {
	case r.Waiting > 0:
		x.limit = min(x.limit, max(part, x.limit/2, 1))
	case x.peak >= x.limit:
		x.limit = min(max(part, x.limit+1), 2*x.limit, most)
	case x.limit > base:
		x.limit = max(base, (x.limit+x.peak)/2)
	default:
		x.limit = min(base, x.limit+1)
	}
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
	x.peak = max(x.peak, x.inflight)
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
