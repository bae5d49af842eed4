package dredge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drcontroller"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drproxy"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	// revocationMargin is the part of the revocation time that is kept for
	// differences between clocks and for the way to the runner.
	revocationMargin = time.Second
	// usableBudgetShare is the part of the permitted retries that the VMs use
	// together; windows slide and VMs count on their own.
	usableBudgetShare = 0.5
	// initialVMCount is the number of VMs that share the extra retries before the
	// controller has told it.
	initialVMCount = 64
	// stopAcceptingDelay is how long after SIGTERM new connections still come: the
	// platform needs two failed readiness checks.
	stopAcceptingDelay = 2500 * time.Millisecond
	// exitMargin is left of the grace period to exit in.
	exitMargin = 900 * time.Millisecond
	// refuseWaitingMargin before the end, requests that no runner has are refused.
	refuseWaitingMargin = 700 * time.Millisecond
	// drainPollInterval is the pause between looks at the running requests.
	drainPollInterval = 50 * time.Millisecond
	// statusTimeout bounds requests for readiness and metrics.
	statusTimeout = 5 * time.Second
	// budgetUpdateInterval is the pause between updates of budgets and metrics.
	budgetUpdateInterval = time.Second
	// gcPercent trades processor time for memory.
	gcPercent = 50
)

// Platform is what an Edge needs of the platform that it runs on.
type Platform struct {
	Log     drstore.Log
	Codec   drstore.Codec
	Engines drscheduler.Engines
	Wire    drproxy.Wire
}

// Config configures an Edge.
type Config struct {
	Settings    Settings
	Clock       drfleetview.Clock
	Platform    Platform
	Incarnation uint64
	// Dropped returns the number of log lines that were not written.
	Dropped func() int64
}

// Edge is one entry VM.
type Edge struct {
	Config
	view           *drfleetview.View
	allowances     *drtokenpool.Allowances
	budgets        *drproxy.Budgets
	metrics        *drmetric.Metrics
	dialer         *drnet.Dialer
	peers          *drpeer.Node
	controllerNode *drcontroller.Node
	proxy          *drproxy.Server
	statusServer   *fasthttp.Server
	listeners      []*drnet.Server
	callerListener *drnet.Server
	retryBudget    atomic.Pointer[RetryBudget]
	draining       atomic.Bool
	ctx            context.Context
	cancel         context.CancelFunc
}

// New returns an Edge. Start starts it.
func New(config Config) (*Edge, error) {
	debug.SetGCPercent(gcPercent)
	if config.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(config.Settings.MemoryLimit))
	}
	dialer, err := drnet.NewDialer(drnet.Config{Clock: config.Clock, Loops: 1})
	if err != nil {
		return nil, fmt.Errorf("start dialer: %w", err)
	}
	e := &Edge{
		Config: config, view: drfleetview.New(config.Clock), allowances: drtokenpool.NewAllowances(config.Clock), metrics: drmetric.New(), dialer: dialer,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	settings := config.Settings
	e.peers = drpeer.New(drpeer.Config{
		VM: settings.VM, Incarnation: config.Incarnation, Dialer: dialer, Clock: config.Clock,
		Addresses: func(vm string) (string, bool) { return e.controllerNode.PeerAddress(vm) },
	})
	e.controllerNode = drcontroller.New(drcontroller.Config{
		Clock: config.Clock, VM: settings.VM, Zone: settings.Zone, Address: cmp.Or(settings.Addresses.PeersAdvertised, settings.Addresses.Peers), Incarnation: config.Incarnation,
		Log: config.Platform.Log, Codec: config.Platform.Codec, Engines: config.Platform.Engines, Peers: e.peers, Registry: e.peers,
		Metrics: e.metrics, View: e.view, Allowances: e.allowances, OrderPause: time.Duration(settings.OrderPause),
		Processor: settings.Processor, Propagation: time.Duration(settings.Propagation), RunnerDrain: time.Duration(settings.RunnerDrain),
	})
	e.allowances.SetSlack(settings.QuotaSlack)
	e.retryBudget.Store(&settings.RetryBudget)
	e.budgets = drproxy.NewBudgets(e.vmRetryBudget(initialVMCount))
	e.proxy = drproxy.New(drproxy.Config{
		Clock: config.Clock, Zone: settings.Zone, Wire: config.Platform.Wire, View: e.view, Allowances: e.allowances, Reserver: e.controllerNode,
		Budgets: e.budgets, Metrics: e.metrics, Dialer: dialer,
	})
	e.proxy.SetFreshness(time.Duration(settings.Revocation) - revocationMargin)
	e.statusServer = &fasthttp.Server{
		Handler: e.handleStatus, ReadTimeout: statusTimeout, IdleTimeout: statusTimeout, NoDefaultServerHeader: true,
	}
	return e, nil
}

// applySettings takes the settings that may change while the process runs.
func (e *Edge) applySettings(settings Settings) {
	e.allowances.SetSlack(settings.QuotaSlack)
	e.retryBudget.Store(&settings.RetryBudget)
	e.proxy.SetFreshness(time.Duration(settings.Revocation) - revocationMargin)
	e.budgets.Set(e.vmRetryBudget(e.allowances.VMs()))
}

// vmRetryBudget returns this VM's part of the retry budget.
func (e *Edge) vmRetryBudget(vms int) drbalancer.BudgetConfig {
	retryBudget := e.retryBudget.Load()
	vmExtra := retryBudget.Extra * usableBudgetShare / float64(max(vms, 1))
	return drbalancer.BudgetConfig{
		Clock: e.Clock, Share: retryBudget.Share * usableBudgetShare,
		Floor: vmExtra / time.Duration(retryBudget.Window).Seconds(), Burst: max(vmExtra, 1),
	}
}

// Start opens the listeners and starts the node.
func (e *Edge) Start() error {
	addresses := e.Settings.Addresses
	serveStatus := func(conn net.Conn) { _ = e.statusServer.ServeConn(conn) } // its errors are those of the asking side
	for _, listener := range []struct {
		address string
		handler func(net.Conn)
	}{{addresses.Peers, e.peers.ServeConn}, {addresses.Readiness, serveStatus}, {addresses.Metrics, serveStatus}, {addresses.Callers, e.proxy.ServeConn}} {
		if listener.address == "" {
			continue
		}
		server, err := drnet.Listen(drnet.Config{Address: listener.address, Clock: e.Clock, Handler: listener.handler, Loops: 1})
		if err != nil {
			return errors.Join(err, e.Close())
		}
		e.listeners = append(e.listeners, server)
		e.callerListener = server
	}
	e.registerMetrics()
	e.controllerNode.Start()
	go e.updateRetryBudgets()
	log.WithFields(log.Fields{"event": "started", "vm": e.Settings.VM, "zone": e.Settings.Zone, "callers": addresses.Callers,
		"peers": addresses.Peers, "store": e.Settings.StoreAddress, "incarnation": e.Incarnation}).Info("")
	return nil
}

func (e *Edge) registerMetrics() {
	e.metrics.RegisterProcess()
	e.metrics.CounterFunc(drmetric.LogLinesDropped, e.Dropped)
	e.metrics.GaugeFunc(drmetric.DeploymentAge, func() int64 { deploymentAge, _, _ := e.view.Ages(); return int64(deploymentAge) })
	e.metrics.GaugeFunc(drmetric.RunnersAge, func() int64 { _, runnersAge, _ := e.view.Ages(); return int64(runnersAge) })
	e.metrics.GaugeFunc(drmetric.KnownRunners, func() int64 { return int64(len(e.view.Runners(""))) })
	e.metrics.GaugeFunc(drmetric.Controlling, func() int64 {
		if e.controllerNode.Controlling() {
			return 1
		}
		return 0
	})
}

// updateRetryBudgets gives each VM its part of the retry budget.
func (e *Edge) updateRetryBudgets() {
	vms := 0
	for e.Clock.Sleep(e.ctx, budgetUpdateInterval) == nil {
		if current := e.allowances.VMs(); current != vms {
			vms = current
			e.budgets.Set(e.vmRetryBudget(vms))
		}
	}
}

// ready reports whether this VM can serve requests, and why not.
func (e *Edge) ready() (ok bool, reason string) {
	age, _, known := e.view.Ages()
	switch {
	case e.draining.Load():
		return false, "draining"
	case !known:
		return false, "no configuration yet"
	case age > e.proxy.Freshness():
		return false, "configuration not confirmed"
	}
	return true, ""
}

// handleStatus answers readiness checks and serves the metrics.
func (e *Edge) handleStatus(ctx *fasthttp.RequestCtx) {
	if e.Platform.Wire.IsReadiness(&ctx.Request.Header) {
		if ok, reason := e.ready(); !ok {
			ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		}
		return
	}
	if string(ctx.Path()) != "/metrics" {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType(drmetric.ContentType)
	if err := e.metrics.Write(ctx); err != nil {
		log.WithField("event", "metrics-failed").WithError(err).Error("")
	}
}

// Drain reports this VM as not ready, hands the controller's lease on, lets
// the running requests finish within the grace period, and closes everything.
func (e *Edge) Drain() error {
	start := e.Clock.Now()
	e.draining.Store(true)
	e.proxy.StartDrain()
	e.controllerNode.Retire()
	log.WithFields(log.Fields{"event": "draining", "vm": e.Settings.VM, "running": e.proxy.Busy()}).Info("")
	deadline := start.Add(time.Duration(e.Settings.GracePeriod) - exitMargin)
	for e.Clock.Since(start) < stopAcceptingDelay {
		_ = e.Clock.Sleep(e.ctx, drainPollInterval)
	}
	e.callerListener.StopAccepting()
	waiting := true
	for e.Clock.Now().Before(deadline) {
		if waiting && e.Clock.Now().After(deadline.Add(-refuseWaitingMargin)) {
			waiting = false
			e.proxy.EndWaiting()
		}
		e.proxy.CloseIdle()
		if e.proxy.Connections() == 0 {
			break
		}
		_ = e.Clock.Sleep(e.ctx, drainPollInterval)
	}
	log.WithFields(log.Fields{"event": "stopped", "vm": e.Settings.VM, "cut": e.proxy.Busy(), "took": e.Clock.Since(start)}).Info("")
	return e.Close()
}

// closeTimeout bounds the wait for each part at the end; all of them together
// must fit into exitMargin.
const closeTimeout = 100 * time.Millisecond

// Close ends the Edge without waiting for requests.
func (e *Edge) Close() error {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.controllerNode.Close()
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout): // a call to the store or a runner is under way
	}
	e.cancel()
	e.proxy.Close()
	err := e.peers.Close()
	for _, listener := range e.listeners {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		if closeErr := listener.Close(ctx); closeErr != nil && !errors.Is(closeErr, context.DeadlineExceeded) {
			err = errors.Join(err, closeErr)
		}
		cancel()
	}
	return errors.Join(err, e.dialer.Close())
}
