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
	// LeaseTTL is how long the lease of a controller is valid without renewal.
	LeaseTTL = 1600 * time.Millisecond
	// renewInterval leaves time for several renewals within LeaseTTL.
	renewInterval = 450 * time.Millisecond
	// leasePoll is how often a VM looks whether it still reaches the controller.
	leasePoll = 250 * time.Millisecond
	// unreachedPause is the time between two reads of a lease that is renewed
	// although this VM does not reach its holder.
	unreachedPause = 900 * time.Millisecond
	// deafPause is how long a VM that gave the lease up because no other VM
	// reached it does not acquire it again.
	deafPause = 4 * time.Second
	// acquireSpread spreads the attempts of VMs to take a vacant lease. weakDelay
	// holds a VM back that lacks a core compared with the strongest: by more
	// than the time within which VMs notice that the controller is lost, because
	// a weak controller of a large fleet cannot answer it. unknownDelay does so,
	// compared with a full core, before the first controller.
	acquireSpread = 150 * time.Millisecond
	weakDelay     = 3 * time.Second
	unknownDelay  = 700 * time.Millisecond
	// storeLimit bounds one call to the store for the lease.
	storeLimit = 1200 * time.Millisecond
	// releaseLimit bounds the release of the lease at the end of a process.
	releaseLimit = 500 * time.Millisecond
	// deafAfter is how long a controller that no other VM reports to keeps its
	// lease, if others did report before.
	deafAfter = 2 * time.Second
)

// leaseLoop acquires, renews and gives up the lease.
func (n *Node) leaseLoop() {
	var b backoff
	for n.ctx.Err() == nil {
		pause := leasePoll
		switch c := n.controller.Load(); {
		case c != nil && n.mustResign(c):
			n.resign(c)
		case c != nil:
			n.renew(c)
			pause = renewInterval
		case n.hasLeader():
		default:
			var err error
			if pause, err = n.seekLeader(); err != nil {
				pause = n.failed(&b) // the loops that read the view log the loss of the store
			} else {
				b.reset()
			}
		}
		_ = n.Clock.Sleep(n.ctx, pause)
	}
	if c := n.controller.Load(); c != nil {
		n.resign(c)
	}
}

func (n *Node) hasLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.VM != "" && !n.heardAt.IsZero() && n.Clock.Since(n.heardAt) < maxSyncWait+syncLimit
}

// mustResign reports whether this VM should no longer be the controller.
func (n *Node) mustResign(c *Controller) bool {
	if n.retired.Load() {
		return true
	}
	now := n.Clock.Now()
	if !c.deaf(now) {
		return false
	}
	n.deafUntil = now.Add(deafPause)
	return true
}

// deaf reports whether other VMs reported to this controller before, but none
// has for a while.
func (c *Controller) deaf(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for name, v := range c.vms {
		if name != c.Holder && v.heard.After(last) {
			last = v.heard
		}
	}
	return !last.IsZero() && now.Sub(last) > deafAfter
}

func (n *Node) resign(c *Controller) {
	n.controller.Store(nil)
	c.Close()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), releaseLimit)
	defer cancel()
	err := n.elector.Release(ctx)
	entry := log.WithFields(log.Fields{"event": "controller-resigned", "term": c.Term, "retired": n.retired.Load()})
	if err != nil {
		entry.WithError(err).Warn("")
	} else {
		entry.Info("")
	}
	n.setLeader(drlease.Lease{})
}

// renew extends the lease, or ends the controller once it has lapsed.
func (n *Node) renew(c *Controller) {
	ctx, cancel := context.WithTimeout(n.ctx, storeLimit)
	defer cancel()
	err := n.elector.Renew(ctx, c.Handover())
	if errors.Is(err, drstore.ErrConflict) {
		_, err = n.elector.Read(ctx, 0)
	}
	if newest, _ := n.elector.Newest(); newest.Term != c.Term || !c.Holds() {
		n.controller.Store(nil)
		c.Close()
		log.WithFields(log.Fields{"event": "lease-lost", "term": c.Term, "newest-term": newest.Term,
			"newest-vm": newest.VM}).Warn("")
		n.setLeader(drlease.Lease{})
		return
	}
	if err != nil {
		log.WithFields(log.Fields{"event": "lease-renewal-failed", "term": c.Term}).WithError(err).Warn("")
	}
}

// seekLeader finds the controller in the lease, or takes a vacant lease. It
// waits at the store until the lease changes or this VM may acquire it, so that
// a change of the controller costs each VM few calls. It returns the pause
// before the next look.
func (n *Node) seekLeader() (pause time.Duration, err error) {
	wait := n.elector.VacantIn() + n.spread()
	ctx, cancel := context.WithTimeout(n.ctx, wait+storeLimit)
	defer cancel()
	changed, err := n.elector.Read(ctx, wait)
	if err != nil {
		return 0, err
	}
	l, known := n.elector.Newest()
	if known {
		n.Allowances.AssumeVMs(l.VMs)
		n.mu.Lock()
		n.mostProcessor = max(n.mostProcessor, l.MostProcessor)
		n.mu.Unlock()
	}
	switch {
	case !n.elector.Vacant():
		return n.followLease(l), nil
	case changed:
		return 0, nil // released: the next wait spreads the VMs
	case n.retired.Load() || n.Clock.Now().Before(n.deafUntil):
		return leasePoll, nil
	}
	if err := n.elector.Acquire(ctx); errors.Is(err, drstore.ErrConflict) {
		return 0, nil // another VM was faster
	} else if err != nil {
		return 0, err
	}
	n.lead()
	return 0, nil
}

// followLease takes the holder of a valid lease as the controller. It returns
// the pause before the next look.
func (n *Node) followLease(l drlease.Lease) time.Duration {
	n.mu.Lock()
	same := n.leader.VM == l.VM && n.leader.Term == l.Term
	n.mu.Unlock()
	n.setLeader(l)
	if same {
		return unreachedPause
	}
	return leasePoll
}

// spread returns this VM's delay before it takes a vacant lease.
func (n *Node) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.VM))
	n.mu.Lock()
	most := n.mostProcessor
	n.mu.Unlock()
	return weaknessDelay(n.Processor, most) + time.Duration(h.Sum32()%1000)*acquireSpread/1000
}

// weaknessDelay returns how long a VM leaves a vacant lease to stronger ones,
// given the parts of a core that it and the strongest VM may use.
func weaknessDelay(own, most float64) time.Duration {
	if most == 0 {
		return time.Duration(max(1-own, 0) * float64(unknownDelay))
	}
	return time.Duration(max(most-own, 0) * float64(weakDelay))
}

func (n *Node) lead() {
	l, _ := n.elector.Newest()
	c := NewController(ControllerConfig{
		Clock: n.Clock, Engines: n.Engines, Metrics: n.Metrics, Holder: n.VM, Term: l.Term,
		Holds: func() bool {
			term, ok := n.elector.Holds()
			return ok && term == l.Term
		},
		QuietUntil: n.Clock.Now().Add(n.OrderPause), Inherited: l.Handover,
	}, n.View)
	n.controller.Store(c)
	n.setLeader(l)
	log.WithFields(log.Fields{"event": "lease-acquired", "term": l.Term}).Info("")
}

func (n *Node) setLeader(l drlease.Lease) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.VM != n.leader.VM || l.Term != n.leader.Term {
		log.WithFields(log.Fields{"event": "controller-changed", "controller": l.VM, "term": l.Term}).Info("")
		n.heardAt = time.Time{}
	}
	n.leader = l
}
