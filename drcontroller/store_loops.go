package drcontroller

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
)

const (
	// deploymentWait and runnersPause set the pace at which the controller
	// reads the store.
	deploymentWait = 700 * time.Millisecond
	runnersPause   = 600 * time.Millisecond
	// staleFraction is the part of the time within which a change must be followed
	// after which a VM that has heard nothing reads the store itself.
	staleFraction = 0.75
	// startupWait is how long a new process waits for the controller to tell
	// it everything before it reads the store itself.
	startupWait = 600 * time.Millisecond
	// minReadPause is the pause after a failed read of the store. It doubles up to
	// a time that grows with the number of VMs by readPausePerVM, so that all
	// VMs together do not press a store that is down.
	minReadPause      = 200 * time.Millisecond
	maxReadPausePerVM = 15 * time.Millisecond
	minPauseLimit     = 800 * time.Millisecond
	maxPauseLimit     = 2 * time.Second
	// staleCheckInterval is how often a VM looks whether its view has become stale.
	staleCheckInterval = 100 * time.Millisecond
)

// backoff is the pause between attempts to reach the store.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// next returns the pause after a failed attempt by one of a number of VMs.
func (b *backoff) next(vms int) time.Duration {
	limit := min(max(time.Duration(vms)*maxReadPausePerVM, minPauseLimit), maxPauseLimit)
	b.pause = min(max(2*b.pause, minReadPause), limit)
	return b.pause/2 + rand.N(b.pause/2+1)
}

// storeRetryPause returns the pause after a failed read. The controller reads for all
// VMs and does not count the others.
func (n *Node) storeRetryPause(b *backoff) time.Duration {
	if n.controller.Load() != nil {
		return b.next(1)
	}
	return b.next(n.Allowances.VMs())
}

// awaitController gives the controller time to tell a new process everything.
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

// mustReadStore reports whether this VM must read a topic of the store itself: as
// the controller, if what it knows has become too old, or if it knows nothing
// and no controller can tell it.
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

// deploymentLoop keeps the configuration fresh.
func (n *Node) deploymentLoop() {
	unreachable := false
	var b backoff
	n.awaitController()
	for n.ctx.Err() == nil {
		d, age := n.View.Deployment()
		if !n.mustReadStore(d != nil, age, n.Propagation) {
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

// logStoreState logs when a topic of the store is lost or regained.
func (n *Node) logStoreState(unreachable bool, topic string, err error) bool {
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

// runnersLoop keeps the runner table fresh.
func (n *Node) runnersLoop() {
	unreachable := false
	var b backoff
	n.awaitController()
	for n.ctx.Err() == nil {
		_, age, _ := n.View.Ages()
		if !n.mustReadStore(n.View.RunnersKnown(), age, n.RunnerDrain) {
			_ = n.Clock.Sleep(n.ctx, staleCheckInterval)
			continue
		}
		err := n.reader.readRunners(n.ctx)
		unreachable = n.logStoreState(unreachable, "runners", err)
		pause := runnersPause
		if err != nil {
			pause = n.storeRetryPause(&b)
		} else {
			b.reset()
		}
		_ = n.Clock.Sleep(n.ctx, pause)
	}
}
