package drcontroller

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drstore"
)

const (
	// deploymentWait is how long the controller's reads of the configuration
	// wait at the store for a change, and runnersPause the pause between its
	// reads of the runners.
	deploymentWait = 700 * time.Millisecond
	runnersPause   = 600 * time.Millisecond
	// staleFraction is the share of Config.Propagation or Config.RunnerDrain
	// after which a VM without news from the controller reads the store itself.
	staleFraction = 0.75
	// newsFraction is the share of Config.RunnerDrain after which a VM without the whole
	// table reads what has changed. It leaves the time for a second read.
	newsFraction = 0.5
	// startupWait is how long a new process waits for the first reply of the
	// controller before it reads the store itself.
	startupWait = 600 * time.Millisecond
	// minReadPause is the pause after the first failed read of the store. It
	// doubles with each further failure up to a limit of maxReadPausePerVM for
	// each VM of the fleet, at least minPauseLimit and at most maxPauseLimit.
	// The limit keeps the VMs together from overloading a store that is down.
	minReadPause      = 200 * time.Millisecond
	maxReadPausePerVM = 15 * time.Millisecond
	minPauseLimit     = 800 * time.Millisecond
	maxPauseLimit     = 2 * time.Second
	// staleCheckInterval is the interval at which a VM checks whether its view
	// is stale.
	staleCheckInterval = 100 * time.Millisecond
	// readTimePerEntry is the part of the store's time for reads that one VM's read
	// of one runner's entry takes, with a margin for the controller's reads.
	readTimePerEntry = 50 * time.Microsecond
	// historyReadSize is the number of entries whose reading takes the store as long as that
	// of the history of a few seconds, which most such reads bring. historyPageKB bounds a
	// page of it, in units of 1,024 bytes.
	historyReadSize = 16
	historyPageKB   = 512
	// maxRush is how much of the store's time new processes may take at once. Below it
	// they don't take turns for their first read, because their clients wait for it.
	maxRush = time.Second
)

// readTurn spreads the reads of VMs that begin to read the runners at the same time.
// The zero value has no turn yet.
type readTurn struct {
	drawn bool
	at    time.Duration // uptime
}

// come draws a turn unless one is drawn, and reports whether it has come. The VMs
// together would otherwise take all of the store's time for reads and the controller
// could not read either, which keeps them from hearing of changes at all.
func (t *readTurn) come(now time.Duration, vms, runners int) bool {
	if !t.drawn {
		t.drawn, t.at = true, now+rand.N(time.Duration(vms*runners)*readTimePerEntry+1)
	}
	return now >= t.at
}

func (t *readTurn) reset() { t.drawn = false }

// backoff computes the pauses between failed attempts to reach the store. The
// zero value is ready for use.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// next returns the pause after a failed attempt, with jitter. vms is the number
// of VMs that call the store.
func (b *backoff) next(vms int) time.Duration {
	limit := min(max(time.Duration(vms)*maxReadPausePerVM, minPauseLimit), maxPauseLimit)
	b.pause = min(max(2*b.pause, minReadPause), limit)
	return b.pause/2 + rand.N(b.pause/2+1)
}

// storeRetryPause returns the pause after a failed read. The controller's pause
// does not grow with the fleet, because it reads for all VMs.
func (n *Node) storeRetryPause(b *backoff) time.Duration {
	if n.controller.Load() != nil {
		return b.next(1)
	}
	return b.next(n.Allowances.VMs())
}

// leaseRetryPause is storeRetryPause for the lease. That of the strongest VMs does
// not grow with the fleet either, because all others leave the lease to them.
func (n *Node) leaseRetryPause(b *backoff) time.Duration {
	if n.weaknessDelay() == 0 {
		return b.next(1)
	}
	return n.storeRetryPause(b)
}

// awaitController waits until the controller has replied to a new process, for
// at most startupWait.
func (n *Node) awaitController() {
	end := n.Clock.Now().Add(startupWait)
	for n.controller.Load() == nil && n.Clock.Now().Before(end) {
		if _, reached := n.Leader(); reached {
			return
		}
		if n.Clock.Sleep(n.ctx, minSyncRetryPause) != nil {
			return
		}
	}
}

// mustReadStore reports whether this VM must read a topic of the store itself:
// because it is the controller, because its copy is too old, or because it has
// no copy and does not reach a controller. known says whether it has a copy,
// and bound is the time within which it must apply a change.
func (n *Node) mustReadStore(known bool, age, bound time.Duration) bool {
	if n.controller.Load() != nil {
		return true
	}
	if known {
		return age >= time.Duration(float64(bound)*staleFraction)
	}
	_, reached := n.Leader()
	return !reached
}

// deploymentLoop reads the configuration from the store whenever this VM must
// do so.
func (n *Node) deploymentLoop() {
	unreachable := false
	var b backoff
	n.awaitController()
	for n.ctx.Err() == nil {
		d, age := n.View.Deployment()
		if !n.mustReadStore(d != nil, age, n.deploymentBound()) {
			_ = n.Clock.Sleep(n.ctx, staleCheckInterval)
			continue
		}
		wait := time.Duration(0)
		if d == nil || n.controller.Load() != nil {
			wait = deploymentWait
		}
		err := n.reader.readDeployment(n.ctx, wait)
		unreachable = n.logStoreState(unreachable, "deployments", err)
		if d, _ := n.View.Deployment(); d != nil {
			n.Allowances.SetLimits(limitsOf(d))
		}
		if err != nil {
			_ = n.Clock.Sleep(n.ctx, n.storeRetryPause(&b))
			continue
		}
		b.reset()
	}
}

// recordStoreResult remembers when a call to the store has failed.
func (n *Node) recordStoreResult(err error) {
	at := &n.storeAnsweredAt
	if err != nil {
		at = &n.storeFailedAt
	}
	at.Store(int64(n.Clock.Uptime()))
}

// logStoreState logs when a topic of the store becomes unreachable or reachable
// again, and returns the new state.
func (n *Node) logStoreState(unreachable bool, topic string, err error) bool {
	n.recordStoreResult(err)
	if n.ctx.Err() != nil || (err != nil) == unreachable {
		return unreachable
	}
	if err != nil {
		log.WithFields(log.Fields{"event": "store-lost", "topic": topic}).WithError(err).Warn("")
		return true
	}
	log.WithFields(log.Fields{"event": "store-regained", "topic": topic}).Info("")
	return false
}

// runnersLoop reads the runners from the store whenever this VM must do so. A VM that is not
// the controller takes a turn for each page.
func (n *Node) runnersLoop() {
	unreachable := false
	var b backoff
	var turn, newsTurn readTurn
	n.awaitController()
	for n.ctx.Err() == nil {
		_, age, _ := n.View.Ages()
		must := n.mustReadStore(n.View.RunnersKnown(), age, n.RunnerDrain)
		if !must {
			turn.reset()
		}
		if must && n.controller.Load() == nil {
			n.readNews(&newsTurn)
		}
		if !must || n.controller.Load() == nil && !turn.come(n.Clock.Uptime(), n.Allowances.VMs(), n.nextReadSize()) {
			_ = n.Clock.Sleep(n.ctx, staleCheckInterval)
			continue
		}
		err := n.reader.readRunners(n.ctx)
		unreachable = n.logStoreState(unreachable, "runners", err)
		if n.reader.reading() {
			turn.reset()
		}
		switch {
		case err != nil:
			_ = n.Clock.Sleep(n.ctx, n.storeRetryPause(&b))
			continue
		case !n.reader.reading():
			_ = n.Clock.Sleep(n.ctx, runnersPause)
		}
		b.reset()
	}
}

// readNews reads what has changed of the listed runners once that may be old, in a turn of
// its own for each page.
func (n *Node) readNews(turn *readTurn) {
	if !n.reader.newsDue(time.Duration(float64(n.RunnerDrain) * newsFraction)) {
		turn.reset()
		return
	}
	if !turn.come(n.Clock.Uptime(), n.Allowances.VMs(), historyReadSize) {
		return
	}
	turn.reset()
	if err := n.reader.readNews(n.ctx); err != nil && n.ctx.Err() == nil {
		log.WithField("event", "runners-news-not-read").WithError(err).Info("")
	}
}

// nextReadSize returns how many entries of runners the next read of the store is expected
// to bring. A process that knows no runner goes by the lease, also after its first page
// has failed.
func (n *Node) nextReadSize() int {
	if n.reader.hasHistory() {
		return historyReadSize
	}
	if n.reader.reading() && n.reader.newest.entries > 0 {
		return n.reader.newest.entries
	}
	size := n.View.RunnerCount()
	if size == 0 {
		size = n.firstReadSize()
	}
	return min(size, drstore.NewestPageRecords)
}

// firstReadSize returns how many entries the first read of a process is expected to bring,
// 0 if all VMs together may read them at once.
func (n *Node) firstReadSize() int {
	n.mu.Lock()
	recorded := n.recordedRunners
	n.mu.Unlock()
	if rush := time.Duration(n.Allowances.VMs()*recorded) * readTimePerEntry; rush <= maxRush {
		return 0
	}
	return recorded
}
