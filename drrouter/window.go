package drrouter

import "sync"

const (
	// initialWindowSize is the window for a runner without a report, and the least
	// that an unused window falls to, so that a burst at one VM starts at once.
	initialWindowSize = 8
	maxWindowSize     = 512   // for a runner that reports no capacity
	maxTrackedRunners = 16384 // runners; exceeds the target size
)

// window bounds the requests in flight to one runner.
type window struct {
	limit           int
	inflight        int
	peakInflight    int    // most in flight since the last report
	sentSinceReport int    // since the last report
	reportVersion   uint64 // of the last report
	instance        string
}

// windows holds the dispatch window of each runner. With each report it is set
// to this VM's part of the runner's capacity: its requests in flight, scaled
// by capacity over running and waiting requests. All VMs together then fill
// the batch without queueing in the engine, which is not fair. It grows only
// while it is used up; an unused one falls back, because a large window that
// was never needed would let a burst of one account through.
type windows struct {
	// vmCount returns how many VMs send to the same runners.
	vmCount func() int

	mu       sync.Mutex
	byAddr   map[string]*window
	released chan struct{}
}

func newWindows(vmCount func() int) *windows {
	if vmCount == nil {
		vmCount = func() int { return 1 }
	}
	return &windows{vmCount: vmCount, byAddr: make(map[string]*window), released: make(chan struct{})}
}

// idleLimit is the window without use: an equal part of the capacity, but enough to
// start a burst.
func (w *windows) idleLimit(runner Runner) int {
	if runner.Capacity <= 0 {
		return initialWindowSize
	}
	return min(runner.Capacity, max(initialWindowSize, runner.Capacity/max(1, w.vmCount())))
}

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
		x.sentSinceReport, x.peakInflight = 0, x.inflight
	}
	return x
}

// adjust follows a report.
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

func (w *windows) prune() {
	for a, x := range w.byAddr {
		if x.inflight == 0 {
			delete(w.byAddr, a)
		}
	}
}

// sentSinceReport returns the requests sent to r since its last report.
func (w *windows) sentSinceReport(runner Runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.forRunner(runner).sentSinceReport
}

// limit returns the requests that may be in flight to r.
func (w *windows) limit(runner Runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.forRunner(runner).limit
}

// acquire takes a place in the window of r.
func (w *windows) acquire(runner Runner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.forRunner(runner)
	if x.inflight >= x.limit {
		return false
	}
	x.inflight++
	x.peakInflight = max(x.peakInflight, x.inflight)
	x.sentSinceReport++
	return true
}

// cancelAcquire gives back a place that was not used. It wakes no waiter: the one that
// gives back would wake itself.
func (w *windows) cancelAcquire(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.byAddr[addr]; x != nil {
		x.inflight--
		x.sentSinceReport = max(x.sentSinceReport-1, 0)
	}
}

// release gives back a place and wakes the waiters.
func (w *windows) release(addr string) {
	w.cancelAcquire(addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.released)
	w.released = make(chan struct{})
}

func (w *windows) nextRelease() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.released
}
