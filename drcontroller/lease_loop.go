package drcontroller

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drstore"
)

const (
	// LeaseTTL is how long the controller's lease is valid after its last
	// renewal.
	LeaseTTL = 1600 * time.Millisecond
	// renewInterval allows several renewals within LeaseTTL.
	renewInterval = 450 * time.Millisecond
	// leaderCheckInterval is the interval at which a VM checks whether it still
	// reaches the controller.
	leaderCheckInterval = 250 * time.Millisecond
	// leaseRereadPause is the pause between two reads of the lease while its
	// holder renews it but does not reply to this VM.
	leaseRereadPause = 900 * time.Millisecond
	// maxImmediateRead is the longest time of a read that did not wait at the
	// store.
	maxImmediateRead = 50 * time.Millisecond
	// reacquirePause is how long a VM that released the lease because no other
	// VM reached it does not acquire the lease again.
	reacquirePause = 4 * time.Second
	// acquireJitter spreads the attempts of the VMs to acquire a vacant lease.
	// delayPerMissingCore is the delay of a VM for each core that it has less
	// than the strongest VM. It exceeds the time within which all VMs notice
	// the loss of the controller, because a weak VM cannot serve a large fleet
	// as its controller. initialDelayPerMissingCore is used instead, with one
	// full core for comparison, before the first controller.
	acquireJitter              = 150 * time.Millisecond
	delayPerMissingCore        = 3 * time.Second
	initialDelayPerMissingCore = 700 * time.Millisecond
	// A controller with at least yieldMissingCores less than the strongest VM gives
	// the lease up once yieldAfter has passed, so that the stronger ones have
	// reported to it.
	yieldMissingCores = 0.25
	yieldAfter        = 2 * time.Second
	// leaseCallTimeout is the timeout of one call to the store for the lease.
	leaseCallTimeout = 1200 * time.Millisecond
	// releaseTimeout is the timeout for releasing the lease when the process
	// ends.
	releaseTimeout = 500 * time.Millisecond
	// isolationTimeout is how long a controller keeps the lease after the last
	// report of another VM. It does not apply if no other VM has reported to
	// this controller.
	isolationTimeout = 2 * time.Second
)

// leaseLoop acquires, renews and releases the lease until the node is closed.
func (n *Node) leaseLoop() {
	var b backoff
	for n.ctx.Err() == nil {
		pause := leaderCheckInterval
		switch c := n.controller.Load(); {
		case c != nil && n.mustResign(c):
			n.resign(c, false)
		case c != nil && c.mustYield(n.Processor, n.Clock.Now()):
			n.noAcquireBefore = n.Clock.Now().Add(reacquirePause)
			n.resign(c, true)
		case c != nil:
			n.renew(c)
			pause = renewInterval
		case n.leaderReachable():
			n.awaitSignal(n.leaderLost, pause)
			continue
		default:
			var err error
			pause, err = n.followOrAcquireLease()
			n.recordStoreResult(err)
			if err == nil {
				b.reset()
				n.awaitSignal(n.leaderLost, pause)
				continue
			}
			n.retryFormerLeader()
			pause = n.leaseRetryPause(&b) // the store loops log that the store is unreachable
		}
		_ = n.Clock.Sleep(n.ctx, pause)
	}
	if c := n.controller.Load(); c != nil {
		n.resign(c, false)
	}
}

// leaderReachable reports whether this VM knows the controller and its last
// reply is recent enough.
func (n *Node) leaderReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.VM != "" && !n.lastReplyAt.IsZero() && n.Clock.Since(n.lastReplyAt) < maxSyncWait+syncReplyTimeout
}

// mustResign reports whether this VM must release the lease: because it was
// retired, or because no other VM reaches it any more.
func (n *Node) mustResign(c *Controller) bool {
	if n.retired.Load() {
		return true
	}
	now := n.Clock.Now()
	if !c.isIsolated(now) {
		return false
	}
	n.noAcquireBefore = now.Add(reacquirePause)
	return true
}

// isIsolated reports whether other VMs have reported to this controller, but
// none within isolationTimeout.
func (c *Controller) isIsolated(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for name, v := range c.vms {
		if name != c.Holder && v.lastReportAt.After(last) {
			last = v.lastReportAt
		}
	}
	return !last.IsZero() && now.Sub(last) > isolationTimeout
}

// mustYield reports whether a stronger VM should run the controller: one of a large
// fleet that reports to a weak one. If the lease has just been yielded and no
// stronger VM took it, this controller keeps it.
func (c *Controller) mustYield(own float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Inherited.AfterYield || len(c.vms) <= maxBroadcastVMs || now.Sub(c.startedAt) < yieldAfter {
		return false
	}
	for _, v := range c.vms {
		if v.processor-own >= yieldMissingCores && now.Sub(v.lastReportAt) < vmReportTimeout {
			return true
		}
	}
	return false
}

// resign stops the controller and releases the lease, with yield for a stronger VM.
func (n *Node) resign(c *Controller, yield bool) {
	n.controller.Store(nil)
	c.Close()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), releaseTimeout)
	defer cancel()
	err := n.elector.Release(ctx, c.Handover(), yield)
	entry := log.WithFields(log.Fields{"event": "controller-resigned", "term": c.Term, "retired": n.retired.Load(), "yielded": yield})
	if err != nil {
		entry.WithError(err).Warn("")
	} else {
		entry.Info("")
	}
	n.setLeader(drlease.Lease{})
}

// renew renews the lease, and stops the controller if the lease has lapsed or
// another VM has acquired it.
func (n *Node) renew(c *Controller) {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	err := n.elector.Renew(ctx, c.Handover())
	if errors.Is(err, drstore.ErrConflict) {
		_, err = n.elector.Read(ctx, 0)
	}
	newest, _ := n.elector.Newest()
	if newest.Term != c.Term || !c.Holds() {
		n.controller.Store(nil)
		c.Close()
		log.WithFields(log.Fields{"event": "lease-lost", "term": c.Term, "newest-term": newest.Term,
			"newest-vm": newest.VM}).Warn("")
		n.setLeader(drlease.Lease{})
		return
	}
	n.setLeader(newest) // this VM forgets it if it reports while the lease has lapsed
	if err != nil {
		log.WithFields(log.Fields{"event": "lease-renewal-failed", "term": c.Term}).WithError(err).Warn("")
	}
}

// followOrAcquireLease reads the lease and follows its holder, or acquires the
// lease if it is vacant. The read waits at the store until the lease changes or
// this VM may acquire it, so that a change of the controller costs each VM only
// a few calls. It returns the pause before the next attempt.
func (n *Node) followOrAcquireLease() (pause time.Duration, err error) {
	wait := max(n.elector.VacantIn()+n.acquireDelay(), n.outageDelay())
	ctx, cancel := context.WithTimeout(n.ctx, wait+leaseCallTimeout)
	defer cancel()
	began := n.Clock.Now()
	changed, err := n.elector.Read(ctx, wait)
	if err != nil {
		return 0, err
	}
	// A record that the read had to wait for shows that the holder is alive.
	renewed := changed && n.Clock.Since(began) > maxImmediateRead
	l, known := n.elector.Newest()
	if known {
		n.Allowances.AssumeVMs(l.VMs)
		n.mu.Lock()
		n.maxProcessor, n.recordedRunners = max(n.maxProcessor, l.MostProcessor), l.Runners
		n.mu.Unlock()
	}
	n.recordLeader(l)
	switch {
	case !n.elector.Vacant() && n.elector.Denied():
		return 0, nil // the next read waits at the store until the lease has lapsed or changed
	case !n.elector.Vacant():
		return n.followLeaseHolder(l, renewed), nil
	case changed:
		return 0, nil // released: the next read waits for acquireDelay, which spreads the VMs
	case n.retired.Load() || n.Clock.Now().Before(n.noAcquireBefore):
		return leaderCheckInterval, nil
	case n.outageDelay() > 0:
		return 0, nil // the store was away while this VM waited
	}
	if err := n.elector.Acquire(ctx); errors.Is(err, drstore.ErrConflict) {
		return 0, nil // another VM was faster
	} else if err != nil {
		return 0, err
	}
	n.becomeController()
	return 0, nil
}

// recordLeader tells the allowances whether another VM leads by the lease that was just read.
func (n *Node) recordLeader(l drlease.Lease) {
	if n.elector.Vacant() || n.elector.Denied() {
		n.Allowances.RecordLeader(0, 0)
		return
	}
	n.Allowances.RecordLeader(l.Term, n.elector.VacantIn())
}

// followLeaseHolder makes the holder of a valid lease this VM's controller. It
// returns the pause before the lease is read again: none if the holder may be
// lost, because the next read waits at the store until it has lapsed or changed.
func (n *Node) followLeaseHolder(l drlease.Lease, renewed bool) time.Duration {
	n.mu.Lock()
	same := n.leader.VM == l.VM && n.leader.Term == l.Term
	n.mu.Unlock()
	n.setLeader(l)
	switch {
	case same && renewed:
		return leaseRereadPause
	case same:
		return 0
	default:
		return leaderCheckInterval
	}
}

// acquireDelay returns how long this VM waits before it acquires a vacant
// lease: the delay for missing cores and a jitter derived from its name.
func (n *Node) acquireDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.VM))
	return n.weaknessDelay() + time.Duration(h.Sum32()%1000)*acquireJitter/1000
}

// weaknessDelay returns how long this VM leaves a vacant lease to stronger VMs.
func (n *Node) weaknessDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return missingCoreDelay(n.Processor, n.maxProcessor)
}

// outageDelay returns how long this VM leaves the lease to stronger VMs after its
// last failed call to the store: they could not acquire it before either, and may
// have to wait for a whole TTL after they have read it.
func (n *Node) outageDelay() time.Duration {
	failedAt, delay := time.Duration(n.storeFailedAt.Load()), n.weaknessDelay()
	if failedAt == 0 || delay == 0 {
		return 0
	}
	return max(failedAt+delay+LeaseTTL-n.Clock.Uptime(), 0)
}

// missingCoreDelay returns how long a VM waits for stronger VMs to acquire a
// vacant lease. own and strongest are the parts of a core that this VM and the
// strongest VM may use; strongest is 0 if unknown.
func missingCoreDelay(own, strongest float64) time.Duration {
	if strongest == 0 {
		return time.Duration(max(1-own, 0) * float64(initialDelayPerMissingCore))
	}
	return time.Duration(max(strongest-own, 0) * float64(delayPerMissingCore))
}

// becomeController starts a controller for the lease that this VM has just
// acquired.
func (n *Node) becomeController() {
	l, _ := n.elector.Newest()
	c := NewController(ControllerConfig{
		Clock: n.Clock, Engines: n.Engines, Metrics: n.Metrics, Holder: n.VM, Zone: n.Zone, Processor: n.Processor, Term: l.Term,
		Holds: func() bool {
			term, ok := n.elector.Holds()
			return ok && term == l.Term
		},
		Validity:   n.elector.Validity,
		OrderPause: n.OrderPause, Inherited: l.Handover, ColdBound: n.ColdBound,
	}, n.View)
	n.controller.Store(c)
	n.setLeader(l)
	log.WithFields(log.Fields{"event": "lease-acquired", "term": l.Term}).Info("")
}

// setLeader sets the controller that this VM reports to. A zero Lease means
// that none is known.
func (n *Node) setLeader(l drlease.Lease) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.VM != n.leader.VM || l.Term != n.leader.Term {
		log.WithFields(log.Fields{"event": "controller-changed", "controller": l.VM, "term": l.Term}).Info("")
		n.lastReplyAt = time.Time{}
		if l.VM != "" {
			signal(n.leaderFound)
			signal(n.controllerNamed)
		}
	}
	n.leader = l
}
