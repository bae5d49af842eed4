package drcontroller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drscheduler"
)

const (
	// orderLimit bounds one call to a runner.
	orderLimit = 600 * time.Millisecond
	// minUnloadPause and maxUnloadPause bound the time between two attempts to
	// send the order after an unload, which waits for running requests.
	minUnloadPause = 8 * time.Millisecond
	maxUnloadPause = 40 * time.Millisecond
	// pollPause is the time between two questions whether an order is done.
	pollPause = 40 * time.Millisecond
	// overdue is how long an order may take beyond its expected time before
	// the runner is asked for a report.
	overdue = 6 * time.Second
	// failurePause keeps a runner that failed an order from being asked at
	// once again, and reportPause one that was asked for a report.
	failurePause = 500 * time.Millisecond
	reportPause  = 150 * time.Millisecond
)

var (
	errLeaseLost = errors.New("the lease is no longer held")
	errDoubt     = errors.New("the runner's state is not known")
)

// begin starts a swap. The caller holds mu.
func (c *Controller) begin(service *drfleet.Service, swap drscheduler.Swap, now time.Time) {
	s := c.runners[swap.Runner.ID]
	s.swap, s.doneAt = &swap, now.Add(swap.Expected)
	if swap.FromStore {
		c.loads.begin(now)
	}
	log.WithFields(log.Fields{"event": "swap-planned", "runner": swap.Runner.ID, "load": swap.Load, "unload": swap.Unload,
		"from-store": swap.FromStore, "why": swap.Why, "orders": swap.Runner.Orders, "term": c.Term,
		"expected": swap.Expected}).Info("")
	epoch := s.epoch
	c.wg.Go(func() { c.run(service, s, swap, epoch) })
}

// run carries out a swap.
func (c *Controller) run(service *drfleet.Service, s *runnerState, swap drscheduler.Swap, epoch int) {
	began := c.Clock.Now()
	err := c.swap(s, swap, epoch)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.swap, s.swappedAt = nil, c.Clock.Now()
	if swap.FromStore {
		c.loads.end()
	}
	result := "loaded"
	if err != nil {
		result = "failed"
		s.doubtful, s.retryAt = true, c.Clock.Now().Add(failurePause)
	} else {
		s.loadedAt[swap.Load] = c.Clock.Now()
		c.Metrics.Observe(drmetric.LoadTime, c.Clock.Since(began))
		c.wakeWanting(swap.Load)
	}
	c.Metrics.Counter(drmetric.Loads, result).Inc(1)
	entry := log.WithFields(log.Fields{"event": "swap-ended", "runner": swap.Runner.ID, "service": service.Name,
		"load": swap.Load, "result": result, "took": c.Clock.Since(began), "term": c.Term})
	if err != nil {
		entry.WithError(err).Warn("")
	} else {
		entry.Info("")
	}
	c.prod()
}

// swap unloads what must make way and loads a model. A runner takes one order
// at a time, so the next order is accepted once the one before is done.
func (c *Controller) swap(s *runnerState, swap drscheduler.Swap, epoch int) error {
	for _, m := range swap.Unload {
		if err := c.startWhenFree(s, swap.Runner, step{operation: drscheduler.Unload, model: m, epoch: epoch}); err != nil {
			return fmt.Errorf("unload %s: %w", m, err)
		}
		c.Metrics.Counter(drmetric.Evictions, "memory").Inc(1)
	}
	load := step{operation: drscheduler.Load, model: swap.Load, expected: swap.Expected - loadMargin, epoch: epoch}
	if err := c.startWhenFree(s, swap.Runner, load); err != nil {
		return fmt.Errorf("load %s: %w", swap.Load, err)
	}
	c.mu.Lock()
	s.doneAt = c.Clock.Now().Add(load.expected)
	c.mu.Unlock()
	if err := c.finish(s, swap.Runner, load); err != nil {
		return fmt.Errorf("load %s: %w", swap.Load, err)
	}
	return nil
}

// startWhenFree sends an order until the runner has carried out the one before.
func (c *Controller) startWhenFree(s *runnerState, r *drfleet.Runner, st step) error {
	give := c.Clock.Now().Add(overdue)
	for pause := minUnloadPause; ; pause = min(2*pause, maxUnloadPause) {
		outcome, err := c.start(s, r, st)
		if outcome != drscheduler.Conflicting || c.Clock.Now().After(give) {
			return err
		}
		if c.Clock.Sleep(c.ctx, pause) != nil {
			return errLeaseLost
		}
	}
}

// loadMargin is the part of a swap's expected time that is not the load.
const loadMargin = 150 * time.Millisecond

// step is one order of a swap.
type step struct {
	operation      drscheduler.Operation
	model, adapter string
	expected       time.Duration
	epoch          int // of the runner's state that the step was planned from
}

// finish waits until the runner has carried out a load. The runner is asked by
// the same order again: it accepts it without counting it, or refuses it,
// until the load is done.
func (c *Controller) finish(s *runnerState, r *drfleet.Runner, st step) error {
	if now, ok := c.view.Runner(r.ID); ok && now.Holds(st.model, st.adapter) {
		return nil // it was there before
	}
	give := c.Clock.Now().Add(st.expected + overdue)
	pause := st.expected
	for {
		if err := c.Clock.Sleep(c.ctx, pause); err != nil {
			return errLeaseLost
		}
		s.sending.Lock()
		outcome, err := c.send(r, st)
		s.sending.Unlock()
		switch {
		case outcome == drscheduler.Holds:
			return c.settle(r, st, 0)
		case outcome != drscheduler.Accepted && outcome != drscheduler.Conflicting && outcome != drscheduler.Unknown &&
			outcome != drscheduler.Unreachable:
			return errors.Join(fmt.Errorf("%s: %w", outcome, errDoubt), err)
		case c.Clock.Now().After(give):
			return errors.Join(fmt.Errorf("not done in time: %w", errDoubt), err)
		}
		pause = pollPause
	}
}

// start sends an order and enters what follows from its acceptance into the
// view: a model that is being unloaded takes no further requests.
func (c *Controller) start(s *runnerState, r *drfleet.Runner, st step) (drscheduler.Outcome, error) {
	s.sending.Lock()
	defer s.sending.Unlock()
	c.mu.Lock()
	current := s.epoch == st.epoch
	c.mu.Unlock()
	if !current {
		return drscheduler.Rejected, fmt.Errorf("planned before the last report: %w", errDoubt)
	}
	outcome, err := c.send(r, st)
	switch {
	case outcome == drscheduler.Holds:
		return outcome, c.settle(r, st, 0)
	case outcome != drscheduler.Accepted:
		return outcome, errors.Join(fmt.Errorf("%s: %w", outcome, errDoubt), err)
	case st.operation == drscheduler.Unload:
		return outcome, c.settle(r, st, 1)
	default:
		return outcome, c.count(r, 1)
	}
}

// send sends an order with the runner's present count of orders.
func (c *Controller) send(r *drfleet.Runner, st step) (drscheduler.Outcome, error) {
	now, ok := c.view.Runner(r.ID)
	if !ok || now.Started != r.Started {
		return drscheduler.OtherInstance, nil
	}
	if !c.Holds() {
		return drscheduler.Fenced, errLeaseLost
	}
	ctx, cancel := context.WithTimeout(c.ctx, orderLimit)
	defer cancel()
	o := drscheduler.Order{
		Operation: st.operation, Model: st.model, Adapter: st.adapter, After: now.Orders, Holder: c.Holder, Fence: c.Term,
	}
	outcome, err := c.Engines.Order(ctx, now, o)
	log.WithFields(log.Fields{"event": "order", "runner": r.ID, "operation": o.Operation, "model": o.Model,
		"adapter": o.Adapter, "after": o.After, "term": c.Term, "outcome": outcome}).Info("")
	return outcome, err
}

// count raises the runner's count of orders.
func (c *Controller) count(r *drfleet.Runner, orders int) error {
	return c.change(r, func(n *drfleet.Runner) { n.Orders += orders })
}

// settle enters the result of an order into the view.
func (c *Controller) settle(r *drfleet.Runner, st step, orders int) error {
	return c.change(r, func(n *drfleet.Runner) {
		n.Orders += orders
		n.Replicas = replicasAfter(n.Replicas, st)
		if st.operation == drscheduler.Load && st.adapter == "" {
			n.OnDisk = with(n.OnDisk, st.model)
			n.InMemory = with(n.InMemory, st.model)
		}
	})
}

func with(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

// replicasAfter returns the replicas that a runner has after an order.
func replicasAfter(old []drfleet.Replica, st step) []drfleet.Replica {
	var out []drfleet.Replica
	found := false
	for _, p := range old {
		if p.Model == st.model {
			found = true
			if st.operation == drscheduler.Unload && st.adapter == "" {
				continue
			}
			p.Adapters = slices.DeleteFunc(slices.Clone(p.Adapters), func(a string) bool { return a == st.adapter })
			if st.operation == drscheduler.Load && st.adapter != "" {
				p.Adapters = append(p.Adapters, st.adapter)
			}
		}
		out = append(out, p)
	}
	if !found && st.operation == drscheduler.Load && st.adapter == "" {
		out = append(out, drfleet.Replica{Model: st.model})
	}
	return out
}

// change replaces a runner's entry, unless another incarnation took its place.
func (c *Controller) change(r *drfleet.Runner, f func(*drfleet.Runner)) error {
	now, ok := c.view.Runner(r.ID)
	if !ok || now.Started != r.Started {
		return fmt.Errorf("runner %s has restarted or left: %w", r.ID, errDoubt)
	}
	n := *now
	f(&n)
	c.view.OfferRunner(&n, drfleetview.FromController)
	return nil
}

// beginAdapter starts an adapter swap. The caller holds mu.
func (c *Controller) beginAdapter(swap drscheduler.AdapterSwap) {
	s := c.runners[swap.Runner.ID]
	s.coming = append(slices.Clone(s.coming), swap.Load)
	if swap.Unload != nil {
		s.leaving = append(slices.Clone(s.leaving), *swap.Unload)
	}
	epoch := s.epoch
	c.wg.Go(func() { c.runAdapter(s, swap, epoch) })
}

func (c *Controller) runAdapter(s *runnerState, swap drscheduler.AdapterSwap, epoch int) {
	err := c.swapAdapter(s, swap, epoch)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.coming = without(s.coming, swap.Load)
	if swap.Unload != nil {
		s.leaving = without(s.leaving, *swap.Unload)
	}
	s.usedAdapter[swap.Load] = c.Clock.Now()
	fields := log.Fields{"event": "adapter-swapped", "runner": swap.Runner.ID, "model": swap.Load.Model,
		"adapter": swap.Load.Adapter, "unloaded": swap.Unload, "term": c.Term}
	if err != nil {
		s.doubtful, s.retryAt = true, c.Clock.Now().Add(reportPause)
		log.WithFields(fields).WithError(err).Warn("")
	} else {
		log.WithFields(fields).Info("")
		c.wakeWanting(swap.Load.Model)
	}
	c.prod()
}

// without returns a copy of cs that lacks c.
func without(cs []drscheduler.AdapterKey, c drscheduler.AdapterKey) []drscheduler.AdapterKey {
	return slices.DeleteFunc(slices.Clone(cs), func(x drscheduler.AdapterKey) bool { return x == c })
}

// adapterTime is the usual time of an adapter's load.
const adapterTime = 15 * time.Millisecond

func (c *Controller) swapAdapter(s *runnerState, swap drscheduler.AdapterSwap, epoch int) error {
	if u := swap.Unload; u != nil {
		unload := step{operation: drscheduler.Unload, model: u.Model, adapter: u.Adapter, epoch: epoch}
		if _, err := c.start(s, swap.Runner, unload); err != nil {
			return fmt.Errorf("unload adapter %s of %s: %w", u.Adapter, u.Model, err)
		}
	}
	load := step{
		operation: drscheduler.Load, model: swap.Load.Model, adapter: swap.Load.Adapter, expected: adapterTime, epoch: epoch,
	}
	if _, err := c.start(s, swap.Runner, load); err != nil {
		return err
	}
	return c.finish(s, swap.Runner, load)
}

// ask brings a runner's entry up to date by its report.
func (c *Controller) ask(r *drfleet.Runner, s *runnerState) {
	ctx, cancel := context.WithTimeout(c.ctx, orderLimit)
	defer cancel()
	report, err := c.Engines.Report(ctx, r)
	fields := log.Fields{"event": "runner-reported", "runner": r.ID, "orders": report.Orders, "busy": report.Busy,
		"replicas": len(report.Replicas), "term": c.Term}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.asking = false
	if err != nil {
		s.retryAt = c.Clock.Now().Add(failurePause)
		log.WithFields(fields).WithError(err).Warn("")
		return
	}
	log.WithFields(fields).Info("")
	if report.Started != 0 && report.Started != r.Started {
		return // its new entry is on the way
	}
	now, ok := c.view.Runner(r.ID)
	if !ok || now.Started != r.Started || report.Orders < now.Orders {
		return // the report is older than what is known
	}
	s.epoch++
	n := *now
	n.Orders, n.Replicas, n.InMemory, n.OnDisk = report.Orders, report.Replicas, report.InMemory, report.OnDisk
	c.view.OfferRunner(&n, drfleetview.FromController)
	s.doubtful = report.Busy || len(report.LoadingAdapters) > 0
	c.prod()
}
