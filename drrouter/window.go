package drrouter

import "sync"

const (
	// initialWindowSize is the window for a runner without a report. An unused
	// window does not fall below it unless the capacity is smaller, so that a
	// burst at one VM starts at once.
	initialWindowSize = 8
	// maxWindowSize bounds the window for a runner that reports no capacity.
	maxWindowSize = 512
	// maxTrackedRunners bounds the windows. It exceeds the largest intended
	// number of runners. When it is reached, idle windows are dropped.
	maxTrackedRunners = 16384
)

// window bounds the requests that this VM has in flight to one runner.
type window struct {
	limit              int    // most requests that may be in flight
	inflight           int    // requests in flight
	peakInflight       int    // most requests in flight at once since the last report
	unreportedRequests int    // requests sent since the last report, less the slots given back since
	reportVersion      uint64 // version of the last report
	instance           string // instance of the runner at the last report
}

// windows holds the dispatch window of each runner. Each report of a runner
// sets its window to this VM's share of the capacity: the requests that this VM
// has in flight, scaled by the capacity over all running and waiting requests.
// All VMs together then fill the batch of the engine without queueing in the
// engine, which is not fair between accounts. A window grows only while it is
// used up, and an unused one shrinks again, because a large window that was
// never needed would let the burst of one account through. windows is safe for
// concurrent use.
type windows struct {
	// vmCount returns the number of VMs that send to the same runners.
	vmCount func() int

	mu       sync.Mutex
	byAddr   map[string]*window // by address of the runner
	released chan struct{}      // closed and replaced at each release
}

// newWindows returns windows without runners. A nil vmCount means that this VM
// is the only one.
func newWindows(vmCount func() int) *windows {
	if vmCount == nil {
		vmCount = func() int { return 1 }
	}
	return &windows{vmCount: vmCount, byAddr: make(map[string]*window), released: make(chan struct{})}
}

// idleLimit returns the limit of a window that is not in use: an equal share of
// the capacity, but enough to start a burst.
func (w *windows) idleLimit(runner Runner) int {
	if runner.Capacity <= 0 {
		return initialWindowSize
	}
	return min(runner.Capacity, max(initialWindowSize, runner.Capacity/max(1, w.vmCount())))
}

// forRunner returns the window of the runner, adjusted if the runner has a
// newer report or a new instance. The caller holds mu.
func (w *windows) forRunner(runner Runner) *window {
	x := w.byAddr[runner.Address]
	if x == nil {
		if len(w.byAddr) >= maxTrackedRunners {
			w.prune()
		}
		x = &window{limit: w.idleLimit(runner), reportVersion: runner.Version, instance: runner.Instance}
		w.byAddr[runner.Address] = x
	}
	if runner.Version > x.reportVersion || runner.Instance != x.instance {
		x.reportVersion, x.instance = runner.Version, runner.Instance
		x.adjust(runner, w.idleLimit(runner))
		x.unreportedRequests, x.peakInflight = 0, x.inflight
	}
	return x
}

// adjust sets the limit by a report. If requests wait in the engine, the limit
// falls to this VM's share, at most by half. If the window was used up, it
// grows to the share, at least by one and at most to twice its size. An unused
// window moves toward idleLimit: half of the way down to its peak at a time, or
// up by one.
func (x *window) adjust(runner Runner, idleLimit int) {
	maxLimit := maxWindowSize
	if runner.Capacity > 0 {
		maxLimit = runner.Capacity
	}
	share := maxLimit
	if total := runner.Running + runner.Waiting; total > 0 {
		share = x.peakInflight * maxLimit / total
	}
	switch {
	case runner.Waiting > 0:
		x.limit = min(x.limit, max(share, x.limit/2, 1))
	case x.peakInflight >= x.limit:
		x.limit = min(max(share, x.limit+1), 2*x.limit, maxLimit)
	case x.limit > idleLimit:
		x.limit = max(idleLimit, (x.limit+x.peakInflight)/2)
	default:
		x.limit = min(idleLimit, x.limit+1)
	}
}

// prune drops the windows without requests in flight. The caller holds mu.
func (w *windows) prune() {
	for a, x := range w.byAddr {
		if x.inflight == 0 {
			delete(w.byAddr, a)
		}
	}
}

// unreportedRequests returns how many requests were sent to the runner since
// its last report, less the slots given back since then.
func (w *windows) unreportedRequests(runner Runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.forRunner(runner).unreportedRequests
}

// limit returns how many requests may be in flight to the runner.
func (w *windows) limit(runner Runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.forRunner(runner).limit
}

// acquire takes a dispatch slot in the window of the runner, and reports false
// if none is free.
func (w *windows) acquire(runner Runner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.forRunner(runner)
	if x.inflight >= x.limit {
		return false
	}
	x.inflight++
	x.peakInflight = max(x.peakInflight, x.inflight)
	x.unreportedRequests++
	return true
}

// giveBackSlot gives back a slot without waking the requests that wait for
// one. A caller that gives back a slot which it did not use goes on waiting, and
// would wake itself.
func (w *windows) giveBackSlot(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.byAddr[addr]; x != nil {
		x.inflight--
		x.unreportedRequests = max(x.unreportedRequests-1, 0)
	}
}

// release gives back a slot after a request and wakes the requests that wait
// for one.
func (w *windows) release(addr string) {
	w.giveBackSlot(addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.released)
	w.released = make(chan struct{})
}

// nextRelease returns a channel that is closed when a slot of any runner is
// released.
func (w *windows) nextRelease() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.released
}
