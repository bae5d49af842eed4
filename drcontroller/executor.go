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
	// orderTimeout bounds one call to a runner.
	orderTimeout = 600 * time.Millisecond
	// minUnloadPause and maxUnloadPause bound the time between two attempts to
	// send the order after an unload, which waits for running requests.
	minUnloadPause = 8 * time.Millisecond
	maxUnloadPause = 40 * time.Millisecond
	// loadPollInterval is the time between two questions whether an order is done.
	loadPollInterval = 40 * time.Millisecond
	// maxOrderDelay is how long an order may take beyond its expected time before
	// the runner is asked for a report.
	maxOrderDelay = 6 * time.Second
	// failedOrderPause keeps a runner that failed an order from being asked at
	// once again, and reportPause one that was asked for a report.
	failedOrderPause = 500 * time.Millisecond
	reportRetryPause = 150 * time.Millisecond
)

var (
	errLeaseLost      = errors.New("the lease is no longer held")
	errStateUncertain = errors.New("the runner's state is not known")
)

// startSwap starts a swap. The caller holds mu.
func (c *Controller) startSwap(service *drfleet.Service, swap drscheduler.Swap, now time.Time) {
	s := c.runnerStates[swap.Runner.ID]
	s.swap, s.expectedDoneAt = &swap, now.Add(swap.Expected)
	if swap.FromStore {
		c.storeLoads.begin(now)
	}
	log.WithFields(log.Fields{"event": "swap-planned", "runner": swap.Runner.ID, "load": swap.Load, "unload": swap.Unload,
		"from-store": swap.FromStore, "why": swap.Why, "orders": swap.Runner.Orders, "term": c.Term,
		"expected": swap.Expected}).Info("")
	epoch := s.epoch
	c.wg.Go(func() { c.runSwap(service, s, swap, epoch) })
}

// runSwap carries out a swap.
func (c *Controller) runSwap(service *drfleet.Service, s *runnerState, swap drscheduler.Swap, epoch int) {
	began := c.Clock.Now()
	err := c.executeSwap(s, swap, epoch)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.swap, s.lastSwapAt = nil, c.Clock.Now()
	if swap.FromStore {
		c.storeLoads.end()
	}
	result := "loaded"
	if err != nil {
		result = "failed"
		s.needsReport, s.retryAt = true, c.Clock.Now().Add(failedOrderPause)
	} else {
		s.loadedAt[swap.Load] = c.Clock.Now()
		c.Metrics.Observe(drmetric.LoadTime, c.Clock.Since(began))
		c.wakeVMsWaitingFor(swap.Load)
	}
	c.Metrics.Counter(drmetric.Loads, result).Inc(1)
	entry := log.WithFields(log.Fields{"event": "swap-ended", "runner": swap.Runner.ID, "service": service.Name,
		"load": swap.Load, "result": result, "took": c.Clock.Since(began), "term": c.Term})
	if err != nil {
		entry.WithError(err).Warn("")
	} else {
		entry.Info("")
	}
	c.requestPlan()
}

// executeSwap unloads what must make way and loads a model. A runner takes one order
// at a time, so the next order is accepted once the one before is done.
func (c *Controller) executeSwap(s *runnerState, swap drscheduler.Swap, epoch int) error {
	for _, m := range swap.Unload {
		if err := c.issueOrderWhenFree(s, swap.Runner, swapStep{operation: drscheduler.Unload, model: m, epoch: epoch}); err != nil {
			return fmt.Errorf("unload %s: %w", m, err)
		}
		c.Metrics.Counter(drmetric.Evictions, "memory").Inc(1)
	}
	load := swapStep{operation: drscheduler.Load, model: swap.Load, expected: swap.Expected - swapOverhead, epoch: epoch}
	if err := c.issueOrderWhenFree(s, swap.Runner, load); err != nil {
		return fmt.Errorf("load %s: %w", swap.Load, err)
	}
	c.mu.Lock()
	s.expectedDoneAt = c.Clock.Now().Add(load.expected)
	c.mu.Unlock()
	if err := c.awaitLoad(s, swap.Runner, load); err != nil {
		return fmt.Errorf("load %s: %w", swap.Load, err)
	}
	return nil
}

// issueOrderWhenFree sends an order until the runner has carried out the one before.
func (c *Controller) issueOrderWhenFree(s *runnerState, runner *drfleet.Runner, step swapStep) error {
	deadline := c.Clock.Now().Add(maxOrderDelay)
	for pause := minUnloadPause; ; pause = min(2*pause, maxUnloadPause) {
		outcome, err := c.issueOrder(s, runner, step)
		if outcome != drscheduler.Conflicting || c.Clock.Now().After(deadline) {
			return err
		}
		if c.Clock.Sleep(c.ctx, pause) != nil {
			return errLeaseLost
		}
	}
}

// swapOverhead is the part of a swap's expected time that is not the load.
const swapOverhead = 150 * time.Millisecond

// swapStep is one order of a swap.
type swapStep struct {
	operation      drscheduler.Operation
	model, adapter string
	expected       time.Duration
	epoch          int // of the runner's state that the step was planned from
}

// awaitLoad waits until the runner has carried out a load. The runner is asked by
// the same order again: it accepts it without counting it, or refuses it,
// until the load is done.
func (c *Controller) awaitLoad(s *runnerState, runner *drfleet.Runner, step swapStep) error {
	if current, ok := c.view.Runner(runner.ID); ok && current.Holds(step.model, step.adapter) {
		return nil // it was there before
	}
	deadline := c.Clock.Now().Add(step.expected + maxOrderDelay)
	pause := step.expected
	for {
		if err := c.Clock.Sleep(c.ctx, pause); err != nil {
			return errLeaseLost
		}
		s.orderMu.Lock()
		outcome, err := c.sendOrder(runner, step)
		s.orderMu.Unlock()
		switch {
		case outcome == drscheduler.Holds:
			return c.applyOrder(runner, step, 0)
		case outcome != drscheduler.Accepted && outcome != drscheduler.Conflicting && outcome != drscheduler.Unknown &&
			outcome != drscheduler.Unreachable:
			return errors.Join(fmt.Errorf("%s: %w", outcome, errStateUncertain), err)
		case c.Clock.Now().After(deadline):
			return errors.Join(fmt.Errorf("not done in time: %w", errStateUncertain), err)
		}
		pause = loadPollInterval
	}
}

// issueOrder sends an order and enters what follows from its acceptance into the
// view: a model that is being unloaded takes no further requests.
func (c *Controller) issueOrder(s *runnerState, runner *drfleet.Runner, step swapStep) (drscheduler.Outcome, error) {
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	c.mu.Lock()
	current := s.epoch == step.epoch
	c.mu.Unlock()
	if !current {
		return drscheduler.Rejected, fmt.Errorf("planned before the last report: %w", errStateUncertain)
	}
	outcome, err := c.sendOrder(runner, step)
	switch {
	case outcome == drscheduler.Holds:
		return outcome, c.applyOrder(runner, step, 0)
	case outcome != drscheduler.Accepted:
		return outcome, errors.Join(fmt.Errorf("%s: %w", outcome, errStateUncertain), err)
	case step.operation == drscheduler.Unload:
		return outcome, c.applyOrder(runner, step, 1)
	default:
		return outcome, c.addAcceptedOrders(runner, 1)
	}
}

// sendOrder sends an order with the runner's present count of orders.
func (c *Controller) sendOrder(runner *drfleet.Runner, step swapStep) (drscheduler.Outcome, error) {
	current, ok := c.view.Runner(runner.ID)
	if !ok || current.Started != runner.Started {
		return drscheduler.OtherInstance, nil
	}
	if !c.Holds() {
		return drscheduler.Fenced, errLeaseLost
	}
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	order := drscheduler.Order{
		Operation: step.operation, Model: step.model, Adapter: step.adapter, After: current.Orders, Holder: c.Holder, Fence: c.Term,
	}
	outcome, err := c.Engines.Order(ctx, current, order)
	log.WithFields(log.Fields{"event": "order", "runner": runner.ID, "operation": order.Operation, "model": order.Model,
		"adapter": order.Adapter, "after": order.After, "term": c.Term, "outcome": outcome}).Info("")
	return outcome, err
}

// addAcceptedOrders raises the runner's count of orders.
func (c *Controller) addAcceptedOrders(runner *drfleet.Runner, orders int) error {
	return c.updateRunner(runner, func(n *drfleet.Runner) { n.Orders += orders })
}

// applyOrder enters the result of an order into the view.
func (c *Controller) applyOrder(runner *drfleet.Runner, step swapStep, orders int) error {
	return c.updateRunner(runner, func(n *drfleet.Runner) {
		n.Orders += orders
		n.Replicas = replicasAfter(n.Replicas, step)
		if step.operation == drscheduler.Load && step.adapter == "" {
			n.OnDisk = withName(n.OnDisk, step.model)
			n.InMemory = withName(n.InMemory, step.model)
		}
	})
}

func withName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

// replicasAfter returns the replicas that a runner has after an order.
func replicasAfter(old []drfleet.Replica, step swapStep) []drfleet.Replica {
	var replicas []drfleet.Replica
	found := false
	for _, replica := range old {
		if replica.Model == step.model {
			found = true
			if step.operation == drscheduler.Unload && step.adapter == "" {
				continue
			}
			replica.Adapters = slices.DeleteFunc(slices.Clone(replica.Adapters), func(a string) bool { return a == step.adapter })
			if step.operation == drscheduler.Load && step.adapter != "" {
				replica.Adapters = append(replica.Adapters, step.adapter)
			}
		}
		replicas = append(replicas, replica)
	}
	if !found && step.operation == drscheduler.Load && step.adapter == "" {
		replicas = append(replicas, drfleet.Replica{Model: step.model})
	}
	return replicas
}

// updateRunner replaces a runner's entry, unless another incarnation took its place.
func (c *Controller) updateRunner(runner *drfleet.Runner, update func(*drfleet.Runner)) error {
	current, ok := c.view.Runner(runner.ID)
	if !ok || current.Started != runner.Started {
		return fmt.Errorf("runner %s has restarted or left: %w", runner.ID, errStateUncertain)
	}
	changed := *current
	update(&changed)
	c.view.OfferRunner(&changed, drfleetview.FromController)
	return nil
}

// startAdapterSwap starts an adapter swap. The caller holds mu.
func (c *Controller) startAdapterSwap(swap drscheduler.AdapterSwap) {
	s := c.runnerStates[swap.Runner.ID]
	s.loadingAdapters = append(slices.Clone(s.loadingAdapters), swap.Load)
	if swap.Unload != nil {
		s.unloadingAdapters = append(slices.Clone(s.unloadingAdapters), *swap.Unload)
	}
	epoch := s.epoch
	c.wg.Go(func() { c.runAdapterSwap(s, swap, epoch) })
}

func (c *Controller) runAdapterSwap(s *runnerState, swap drscheduler.AdapterSwap, epoch int) {
	err := c.executeAdapterSwap(s, swap, epoch)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.loadingAdapters = withoutAdapter(s.loadingAdapters, swap.Load)
	if swap.Unload != nil {
		s.unloadingAdapters = withoutAdapter(s.unloadingAdapters, *swap.Unload)
	}
	s.usedAdapter[swap.Load] = c.Clock.Now()
	fields := log.Fields{"event": "adapter-swapped", "runner": swap.Runner.ID, "model": swap.Load.Model,
		"adapter": swap.Load.Adapter, "unloaded": swap.Unload, "term": c.Term}
	if err != nil {
		s.needsReport, s.retryAt = true, c.Clock.Now().Add(reportRetryPause)
		log.WithFields(fields).WithError(err).Warn("")
	} else {
		log.WithFields(fields).Info("")
		c.wakeVMsWaitingFor(swap.Load.Model)
	}
	c.requestPlan()
}

// withoutAdapter returns a copy of cs that lacks c.
func withoutAdapter(adapters []drscheduler.AdapterKey, adapter drscheduler.AdapterKey) []drscheduler.AdapterKey {
	return slices.DeleteFunc(slices.Clone(adapters), func(x drscheduler.AdapterKey) bool { return x == adapter })
}

// adapterLoadTime is the usual time of an adapter's load.
const adapterLoadTime = 15 * time.Millisecond

func (c *Controller) executeAdapterSwap(s *runnerState, swap drscheduler.AdapterSwap, epoch int) error {
	if evicted := swap.Unload; evicted != nil {
		unload := swapStep{operation: drscheduler.Unload, model: evicted.Model, adapter: evicted.Adapter, epoch: epoch}
		if _, err := c.issueOrder(s, swap.Runner, unload); err != nil {
			return fmt.Errorf("unload adapter %s of %s: %w", evicted.Adapter, evicted.Model, err)
		}
	}
	load := swapStep{
		operation: drscheduler.Load, model: swap.Load.Model, adapter: swap.Load.Adapter, expected: adapterLoadTime, epoch: epoch,
	}
	if _, err := c.issueOrder(s, swap.Runner, load); err != nil {
		return err
	}
	return c.awaitLoad(s, swap.Runner, load)
}

// queryRunner brings a runner's entry up to date by its report.
func (c *Controller) queryRunner(runner *drfleet.Runner, s *runnerState) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	report, err := c.Engines.Report(ctx, runner)
	fields := log.Fields{"event": "runner-reported", "runner": runner.ID, "orders": report.Orders, "busy": report.Busy,
		"replicas": len(report.Replicas), "term": c.Term}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.querying = false
	if err != nil {
		s.retryAt = c.Clock.Now().Add(failedOrderPause)
		log.WithFields(fields).WithError(err).Warn("")
		return
	}
	log.WithFields(fields).Info("")
	if report.Started != 0 && report.Started != runner.Started {
		return // its new entry is on the way
	}
	current, ok := c.view.Runner(runner.ID)
	if !ok || current.Started != runner.Started || report.Orders < current.Orders {
		return // the report is older than what is known
	}
	s.epoch++
	updated := *current
	updated.Orders, updated.Replicas, updated.InMemory, updated.OnDisk = report.Orders, report.Replicas, report.InMemory, report.OnDisk
	c.view.OfferRunner(&updated, drfleetview.FromController)
	s.needsReport = report.Busy || len(report.LoadingAdapters) > 0
	c.requestPlan()
}
