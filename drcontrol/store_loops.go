package drcontrol

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
	// staleAfter is the age at which a VM reads the store itself.
	staleAfter = 1200 * time.Millisecond
	// readPause is the pause after a failed read of the store; it doubles up to
	// maxReadPause, so that all VMs together do not press a store that is down.
	readPause    = 200 * time.Millisecond
	maxReadPause = 800 * time.Millisecond
	// stalePoll is how often a VM looks whether its view has become stale.
	stalePoll = 100 * time.Millisecond
)

// backoff is the pause between attempts to read the store.
type backoff struct{ pause time.Duration }

// next returns the pause after an attempt that failed or not.
func (b *backoff) next(failed bool) time.Duration {
	if !failed {
		b.pause = 0
		return readPause
	}
	b.pause = min(max(2*b.pause, readPause), maxReadPause)
	return b.pause/2 + rand.N(b.pause/2+1)
}

// deploymentLoop keeps the configuration fresh.
func (n *Node) deploymentLoop() {
	unreachable := false
	var b backoff
	for n.ctx.Err() == nil {
		age, _, known := n.View.Ages()
		if known && age < staleAfter && n.controller.Load() == nil {
			_ = n.Clock.Sleep(n.ctx, stalePoll)
			continue
		}
		err := n.reader.readDeployment(n.ctx, deploymentWait)
		unreachable = n.noteStore(unreachable, "deployments", err)
		if d, _ := n.View.Deployment(); d != nil {
			n.Allowances.SetLimits(limitsOf(d))
		}
		if pause := b.next(err != nil); err != nil {
			_ = n.Clock.Sleep(n.ctx, pause)
		}
	}
}

// noteStore logs when a topic of the store is lost or regained.
func (n *Node) noteStore(was bool, topic string, err error) bool {
	if n.ctx.Err() != nil || (err != nil) == was {
		return was
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
	for n.ctx.Err() == nil {
		_, age, _ := n.View.Ages()
		if n.View.RunnersKnown() && age < staleAfter && n.controller.Load() == nil {
			_ = n.Clock.Sleep(n.ctx, stalePoll)
			continue
		}
		err := n.reader.readRunners(n.ctx)
		unreachable = n.noteStore(unreachable, "runners", err)
		pause := b.next(err != nil)
		if err == nil {
			pause = runnersPause
		}
		_ = n.Clock.Sleep(n.ctx, pause)
	}
}
