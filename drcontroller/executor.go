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
	"github.com/dotterelridge/dotterelridge/drtask"
)

const (
	// orderTimeout is the timeout of one call to a runner.
	orderTimeout = 600 * time.Millisecond
	// minLoadPollPause is the minimum pause before a runner is asked again
	// whether a load is done.
	minLoadPollPause = 40 * time.Millisecond
	// maxUsualLoadDelay is the time by which a load may exceed its expected time
	// and still tell when others will be done. Slower ones are exceptions.
	maxUsualLoadDelay = 100 * time.Millisecond
	// maxOrderDelay is how long an order may exceed its expected time before
	// the swap fails and the runner is queried. A load may exceed it by its
	// expected time in addition, because loads from the weight store slow each
	// other down. A load given up too early would be planned once more.
	maxOrderDelay = 6 * time.Second
	// failedOrderPause is the minimum pause after a failed swap of models or a
	// failed query before a runner gets an order or query again.
	// reportRetryPause is that pause after a failed adapter swap, and between
	// two queries.
	failedOrderPause = 500 * time.Millisecond
	reportRetryPause = 150 * time.Millisecond
)

var (
	errLeaseLost      = errors.New("this VM no longer holds the controller's lease")
	errStateUncertain = errors.New("the runner's state is unknown until its next report")
)

// startSwap starts the execution of a swap in the background. The caller holds
// mu.
func (c *Controller) startSwap(service *drfleet.Service, swap drscheduler.Swap, now time.Time) {
	s := c.runnerStates[swap.Runner.ID]
	s.swap, s.expectedDoneAt = &swap, now.Add(swap.Expected)
	if swap.FromStore {
		c.storeLoads.begin(now)
	}
	log.WithFields(log.Fields{"event": "swap-planned", "runner": swap.Runner.ID, "load": swap.Load, "unload": swap.Unload,
		"from-store": swap.FromStore, "why": swap.Why.String(), "orders": swap.Runner.Orders, "term": c.Term,
		"expected": swap.Expected}).Info("")
	epoch := s.epoch
	c.wg.Go(func() { c.runSwap(service, s, swap, epoch) })
}

// runSwap executes a swap and records its result. After a failure the runner is
// queried before it gets another order.
func (c *Controller) runSwap(service *drfleet.Service, s *runnerState, swap drscheduler.Swap, epoch int) {
	began := c.Clock.Now()
	err := drtask.Try("swap", func() error { return c.executeSwap(s, swap, epoch) })
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

// executeSwap unloads the models that have to make room and loads the new one.
// A runner carries out one order at a time and refuses others meanwhile.
func (c *Controller) executeSwap(s *runnerState, swap drscheduler.Swap, epoch int) error {
	for i, m := range swap.Unload {
		unload := swapStep{operation: drscheduler.Unload, model: m, epoch: epoch, followsUnload: i > 0}
		if err := c.issueOrderWhenFree(s, swap.Runner, unload); err != nil {
			return fmt.Errorf("unload %s: %w", m, err)
		}
		c.Metrics.Counter(drmetric.Evictions, "memory").Inc(1)
	}
	load := swapStep{
		operation: drscheduler.Load, model: swap.Load, expected: swap.Expected - swapOverhead, epoch: epoch,
		followsUnload: len(swap.Unload) > 0,
	}
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

// issueOrderWhenFree sends an order again until the runner no longer refuses it
// because of the previous order, for at most maxOrderDelay. An order that follows
// an unload is held back for as long as unloads took lately.
func (c *Controller) issueOrderWhenFree(s *runnerState, runner *drfleet.Runner, step swapStep) error {
	began := c.Clock.Now()
	var pause time.Duration
	if step.followsUnload {
		pause = c.usualWait(&c.unloadWait)
	}
	for refused := 0; ; refused++ {
		if c.Clock.Sleep(c.ctx, pause) != nil {
			return errLeaseLost
		}
		outcome, err := c.issueOrder(s, runner, step)
		elapsed := c.Clock.Since(began)
		if step.followsUnload && outcome == drscheduler.Accepted {
			c.learnWait(&c.unloadWait, elapsed, refused)
		}
		if outcome != drscheduler.Conflicting || elapsed > maxOrderDelay {
			return err
		}
		pause = drscheduler.RetryWait(elapsed)
	}
}

// usualWait returns how long to hold an order back until an operation is done.
func (c *Controller) usualWait(wait *drscheduler.OrderWait) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return wait.First()
}

// learnWait updates a wait with the time after which an operation was found done
// and the number of orders that were refused until then.
func (c *Controller) learnWait(wait *drscheduler.OrderWait, took time.Duration, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*wait = wait.WithResult(took, refused)
}

// swapOverhead is the part of a swap's expected time that is not spent on the
// load.
const swapOverhead = 150 * time.Millisecond

// swapStep is one load or unload of a swap.
type swapStep struct {
	operation      drscheduler.Operation
	model, adapter string
	expected       time.Duration
	epoch          int // epoch of the runner's state that the step was planned from
	// followsUnload is set if the previous step of the swap unloads a model. The
	// runner refuses orders until that is done, which waits for running requests.
	followsUnload bool
}

// awaitLoad waits until the runner has completed a load. It polls by sending
// the same order again: until the load is done, the runner either refuses the
// order or accepts it without counting it.
func (c *Controller) awaitLoad(s *runnerState, runner *drfleet.Runner, step swapStep) error {
	if current, ok := c.view.Runner(runner.ID); ok && current.Holds(step.model, step.adapter) {
		return nil // the runner held it already
	}
	expectedAt := c.Clock.Now().Add(step.expected)
	pause := step.expected
	if step.adapter == "" {
		pause += c.usualWait(&c.loadDelay)
	}
	for refused := 0; ; refused++ {
		if err := c.Clock.Sleep(c.ctx, pause); err != nil {
			return errLeaseLost
		}
		outcome, err := c.sendOrderInTurn(s, runner, step)
		overdue := c.Clock.Since(expectedAt)
		switch {
		case outcome == drscheduler.Holds:
			if step.adapter == "" && overdue <= maxUsualLoadDelay {
				c.learnWait(&c.loadDelay, overdue, refused)
			}
			return c.applyOrder(runner, step, 0)
		case outcome != drscheduler.Accepted && outcome != drscheduler.Conflicting && outcome != drscheduler.Unknown &&
			outcome != drscheduler.Unreachable:
			return errors.Join(fmt.Errorf("order outcome %s: %w", outcome, errStateUncertain), err)
		case overdue > maxOrderDelay+step.expected:
			return errors.Join(fmt.Errorf("load not completed in time: %w", errStateUncertain), err)
		}
		pause = max(minLoadPollPause, drscheduler.RetryWait(overdue))
	}
}

// sendOrderInTurn sends an order once no other is being sent to the runner.
func (c *Controller) sendOrderInTurn(s *runnerState, runner *drfleet.Runner, step swapStep) (drscheduler.Outcome, error) {
	s.orderTurn <- struct{}{}
	defer func() { <-s.orderTurn }()
	return c.sendOrder(runner, step)
}

// issueOrder sends an order and updates the view once it is accepted. A model
// that is being unloaded is removed from the view at once, so that it gets no
// more requests. An order that was planned before the runner's last report is
// not sent.
func (c *Controller) issueOrder(s *runnerState, runner *drfleet.Runner, step swapStep) (drscheduler.Outcome, error) {
	s.orderTurn <- struct{}{}
	defer func() { <-s.orderTurn }()
	c.mu.Lock()
	current := s.epoch == step.epoch
	c.mu.Unlock()
	if !current {
		return drscheduler.Rejected, fmt.Errorf("order was planned before the runner's last report: %w", errStateUncertain)
	}
	outcome, err := c.sendOrder(runner, step)
	switch {
	case outcome == drscheduler.Holds:
		return outcome, c.applyOrder(runner, step, 0)
	case outcome != drscheduler.Accepted:
		return outcome, errors.Join(fmt.Errorf("order outcome %s: %w", outcome, errStateUncertain), err)
	case step.operation == drscheduler.Unload:
		return outcome, c.applyOrder(runner, step, 1)
	default:
		return outcome, c.addAcceptedOrders(runner, 1)
	}
}

// sendOrder sends an order with the count of accepted orders that the view has
// for the runner. Without a valid lease it sends nothing and returns Fenced.
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
	if outcome == drscheduler.Leaving {
		c.recordLeaving(drfleetview.IncarnationOf(current), log.Fields{"source": "order"})
	}
	log.WithFields(log.Fields{"event": "order", "runner": runner.ID, "operation": order.Operation, "model": order.Model,
		"adapter": order.Adapter, "after": order.After, "term": c.Term, "outcome": outcome}).Info("")
	return outcome, err
}

// addAcceptedOrders adds to the runner's count of accepted orders in the view.
func (c *Controller) addAcceptedOrders(runner *drfleet.Runner, orders int) error {
	return c.updateRunner(runner, func(n drfleet.Runner) drfleet.Runner {
		n.Orders += orders
		return n
	})
}

// applyOrder applies the effect of an order to the runner's entry in the view
// and adds to the entry's count of accepted orders.
func (c *Controller) applyOrder(runner *drfleet.Runner, step swapStep, orders int) error {
	return c.updateRunner(runner, func(n drfleet.Runner) drfleet.Runner {
		n.Orders += orders
		n.Replicas = replicasAfter(n.Replicas, step)
		if step.operation == drscheduler.Load && step.adapter == "" {
			n.OnDisk = withName(n.OnDisk, step.model)
			n.InMemory = withName(n.InMemory, step.model)
		}
		return n
	})
}

// withName returns names with name added if it is missing. It does not change
// the slice passed in.
func withName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

// replicasAfter returns a runner's replicas after the order of a step. It does
// not change old.
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

// updateRunner changes a runner's entry in the view. It fails if the runner has
// left or restarted.
func (c *Controller) updateRunner(runner *drfleet.Runner, update func(drfleet.Runner) drfleet.Runner) error {
	if !c.view.UpdateRunner(runner.ID, runner.Started, update) {
		return fmt.Errorf("runner %s has restarted or left: %w", runner.ID, errStateUncertain)
	}
	return nil
}

// startAdapterSwap starts the execution of an adapter swap in the background.
// The caller holds mu.
func (c *Controller) startAdapterSwap(swap drscheduler.AdapterSwap) {
	s := c.runnerStates[swap.Runner.ID]
	s.loadingAdapters = append(slices.Clone(s.loadingAdapters), swap.Load)
	if swap.Unload != nil {
		s.unloadingAdapters = append(slices.Clone(s.unloadingAdapters), *swap.Unload)
	}
	epoch := s.epoch
	c.wg.Go(func() { c.runAdapterSwap(s, swap, epoch) })
}

// runAdapterSwap executes an adapter swap and records its result. After a
// failure the runner is queried before it gets another order.
func (c *Controller) runAdapterSwap(s *runnerState, swap drscheduler.AdapterSwap, epoch int) {
	err := drtask.Try("adapter-swap", func() error { return c.executeAdapterSwap(s, swap, epoch) })
	c.mu.Lock()
	defer c.mu.Unlock()
	s.loadingAdapters = withoutAdapter(s.loadingAdapters, swap.Load)
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

// withoutAdapter returns a copy of adapters without one of them.
func withoutAdapter(adapters []drscheduler.AdapterKey, adapter drscheduler.AdapterKey) []drscheduler.AdapterKey {
	return slices.DeleteFunc(slices.Clone(adapters), func(x drscheduler.AdapterKey) bool { return x == adapter })
}

// adapterLoadTime is the typical time that a runner takes to load an adapter.
const adapterLoadTime = 15 * time.Millisecond

// executeAdapterSwap unloads the adapter that has to make room, if any, and
// loads the new one.
func (c *Controller) executeAdapterSwap(s *runnerState, swap drscheduler.AdapterSwap, epoch int) error {
	if evicted := swap.Unload; evicted != nil {
		unload := swapStep{operation: drscheduler.Unload, model: evicted.Model, adapter: evicted.Adapter, epoch: epoch}
		_, err := c.issueOrder(s, swap.Runner, unload)
		// The adapter may be loaded again before this swap ends; it must then
		// count towards the runner's slots.
		c.mu.Lock()
		s.unloadingAdapters = withoutAdapter(s.unloadingAdapters, *evicted)
		c.mu.Unlock()
		if err != nil {
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

// queryRunner asks a runner for its state and replaces its entry in the view. A
// report that is older than the view is ignored.
func (c *Controller) queryRunner(runner *drfleet.Runner, s *runnerState) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	var report drscheduler.Report
	err := drtask.Try("runner-report", func() (err error) {
		report, err = c.Engines.Report(ctx, runner)
		return err
	})
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
		return // the store delivers the entry of the new incarnation
	}
	if report.Leaving {
		c.recordLeaving(drfleetview.IncarnationOf(runner), log.Fields{"source": "report"})
	}
	older := false
	listed := c.view.UpdateRunner(runner.ID, runner.Started, func(n drfleet.Runner) drfleet.Runner {
		if older = report.Orders < n.Orders; older {
			return n
		}
		n.Orders, n.Replicas, n.InMemory, n.OnDisk = report.Orders, report.Replicas, report.InMemory, report.OnDisk
		return n
	})
	if !listed || older {
		return // the runner has left or restarted, or the report is older than the view
	}
	s.epoch++
	s.reported = true
	s.needsReport = report.Busy || len(report.LoadingAdapters) > 0
	c.requestPlan()
}
