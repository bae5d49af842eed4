package drcontrol

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
	// leasePoll is how often a VM without a controller reads the lease.
	leasePoll = 250 * time.Millisecond
	// acquireSpread spreads the attempts of VMs to take a vacant lease, and
	// weakDelay holds VMs back that lack a core compared with the strongest.
	acquireSpread = 150 * time.Millisecond
	weakDelay     = 700 * time.Millisecond
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
			if failed := n.seekLeader(); failed {
				pause = b.next(true)
			} else {
				b.next(false)
				pause = n.seekPause()
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
	return n.retired.Load() || c.deaf(n.Clock.Now())
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
		err = n.elector.Read(ctx)
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

// seekPause returns the time until the lease should be read again: soon if
// another VM may be taking it, else when it is renewed or lapses.
func (n *Node) seekPause() time.Duration {
	if n.elector.Vacant() {
		return leasePoll
	}
	return renewInterval
}

// seekLeader finds the controller in the lease, or takes a vacant lease. It
// reports whether the store failed.
func (n *Node) seekLeader() (failed bool) {
	ctx, cancel := context.WithTimeout(n.ctx, storeLimit)
	defer cancel()
	if err := n.elector.Read(ctx); err != nil {
		return true // the loops that read the view log the loss of the store
	}
	if l, ok := n.elector.Newest(); ok {
		n.Allowances.Assume(l.VMs)
	}
	if !n.elector.Vacant() {
		l, _ := n.elector.Newest()
		n.setLeader(l)
		return false
	}
	if n.retired.Load() || n.Clock.Sleep(ctx, n.spread()) != nil || n.elector.Read(ctx) != nil || !n.elector.Vacant() {
		return false
	}
	if err := n.elector.Acquire(ctx); err != nil {
		return false // another VM was faster, or the next read shows it
	}
	n.lead()
	return false
}

// spread returns this VM's delay before it takes a vacant lease.
func (n *Node) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.VM))
	n.mu.Lock()
	weak := time.Duration(max(n.mostProcessor-n.Processor, 0) * float64(weakDelay))
	n.mu.Unlock()
	return weak + time.Duration(h.Sum32()%1000)*acquireSpread/1000
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
