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
	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drproxy"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
	"github.com/dotterelridge/dotterelridge/drwarmup"
)

const (
	// revocationMargin is subtracted from the revocation time. It covers
	// differences between clocks and the time that a request takes to reach
	// its runner.
	revocationMargin = time.Second
	// usableBudgetShare is the part of the configured retry budget that all
	// VMs together plan to use. It is below 1 because budget windows slide and
	// each VM counts only its own retries.
	usableBudgetShare = 0.5
	// initialVMCount is the number of VMs by which the extra retries are
	// divided until the controller has reported the actual number.
	initialVMCount = 64
	// statusTimeout is the read and idle timeout of connections for readiness
	// checks and metrics.
	statusTimeout = 5 * time.Second
	// budgetUpdateInterval is how often the retry budget is adapted to the
	// number of VMs.
	budgetUpdateInterval = time.Second
	// callersDescriptorShare is the part of the descriptors that callers'
	// connections may take. Each request that is being served also takes one
	// to a runner.
	callersDescriptorShare = 0.45
	// largeMessagesShare is the part of the memory limit that large bodies and
	// events may take.
	largeMessagesShare = 0.25
	// coldWindow is the time over which the requests of cold runners are bounded.
	coldWindow = time.Second
	// gcPercent is the garbage collector's target percentage. A value below
	// Go's default of 100 saves memory and costs processor time.
	gcPercent = 50
)

// Platform holds the adapters to the platform that an Edge runs on. All of
// them are required.
type Platform struct {
	Log     drstore.Log
	Codec   drstore.Codec
	Engines drscheduler.Engines
	Wire    drproxy.Wire
}

// Config holds what New needs to build an Edge.
type Config struct {
	Settings Settings
	Clock    drfleetview.Clock
	Platform Platform
	// Incarnation tells this process from earlier ones of the same VM.
	Incarnation uint64
	// Dropped returns the number of log lines that were discarded instead of
	// written. It is exported as a metric.
	Dropped func() int64
}

// Edge is one entry VM: it forwards callers' requests to runners, exchanges
// state with other VMs and may hold the controller's lease.
type Edge struct {
	Config
	view           *drfleetview.View
	allowances     *drtokenpool.Allowances
	crashes        *drcrash.Ledger
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

// New builds an Edge without opening listeners; Start opens them. It also sets
// the garbage collector's percentage and the memory limit of the whole
// process.
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
		Config: config, view: drfleetview.New(config.Clock), allowances: drtokenpool.NewAllowances(config.Clock), crashes: drcrash.NewLedger(config.Clock), metrics: drmetric.New(), dialer: dialer,
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
		Metrics: e.metrics, View: e.view, Allowances: e.allowances, Crashes: e.crashes, OrderPause: time.Duration(settings.OrderPause),
		Processor: settings.Processor, Propagation: time.Duration(settings.Propagation), RunnerDrain: time.Duration(settings.RunnerDrain),
		RunnerHeartbeat: time.Duration(settings.Heartbeat), ColdBound: drwarmup.Bound{Window: coldWindow, Overage: settings.ColdOverage, Slack: settings.ColdSlack},
	})
	e.allowances.SetSlack(settings.QuotaSlack)
	e.view.SetZoneDrain(time.Duration(settings.ZoneDrain))
	e.retryBudget.Store(&settings.RetryBudget)
	e.budgets = drproxy.NewBudgets(e.vmRetryBudget(initialVMCount))
	e.proxy = drproxy.New(drproxy.Config{
		Clock: config.Clock, Zone: settings.Zone, Regions: settings.Regions, Wire: config.Platform.Wire, View: e.view, Allowances: e.allowances, Claimer: e.controllerNode, Streams: e.controllerNode,
		Crashes: e.crashes,
		Budgets: e.budgets, Metrics: e.metrics, Dialer: dialer, MaxConnections: int(callersDescriptorShare * float64(settings.Descriptors)),
		Propagation:   time.Duration(settings.Propagation),
		LargeMessages: int(largeMessagesShare * float64(settings.MemoryLimit)),
	})
	e.proxy.SetFreshness(settings.freshness())
	e.statusServer = &fasthttp.Server{
		Handler: e.handleStatus, ReadTimeout: statusTimeout, IdleTimeout: statusTimeout, NoDefaultServerHeader: true,
	}
	return e, nil
}

// applySettings applies the settings that may change while the process runs,
// except the log level.
func (e *Edge) applySettings(settings Settings) {
	e.allowances.SetSlack(settings.QuotaSlack)
	e.retryBudget.Store(&settings.RetryBudget)
	e.view.SetZoneDrain(time.Duration(settings.ZoneDrain))
	e.proxy.SetFreshness(settings.freshness())
	e.budgets.Set(e.vmRetryBudget(e.allowances.VMs()))
}

// vmRetryBudget returns one VM's part of the retry budget that vms VMs share.
// The retries per request aren't divided, because each VM counts them against
// its own requests.
func (e *Edge) vmRetryBudget(vms int) drbalancer.BudgetConfig {
	retryBudget := e.retryBudget.Load()
	vmExtra := retryBudget.Extra * usableBudgetShare / float64(max(vms, 1))
	return drbalancer.BudgetConfig{
		Clock: e.Clock, Share: retryBudget.Share * usableBudgetShare,
		Floor: vmExtra / time.Duration(retryBudget.Window).Seconds(), Burst: max(vmExtra, 1),
	}
}

// Start opens the listeners that have an address and starts the controller
// node. If a listener can't be opened, it closes the Edge and returns the
// error.
func (e *Edge) Start() error {
	addresses := e.Settings.Addresses
	serveStatus := func(conn net.Conn) { _ = e.statusServer.ServeConn(conn) } // errors concern the connection of whoever asks
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
		e.callerListener = server // the listener for callers, which is last in the list
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
	e.metrics.GaugeFunc(drmetric.OutOfServiceZones, func() int64 { return int64(len(e.view.Outages().Zones())) })
	e.metrics.GaugeFunc(drmetric.KnownRunners, func() int64 { return int64(len(e.view.Runners(""))) })
	e.metrics.GaugeFunc(drmetric.Controlling, func() int64 {
		if e.controllerNode.Controlling() {
			return 1
		}
		return 0
	})
}

// registerServiceMetrics registers the metrics of each service of the configuration,
// which may have changed.
func (e *Edge) registerServiceMetrics() {
	deployment, _ := e.view.Deployment()
	if deployment == nil {
		return
	}
	for _, service := range deployment.Services {
		name := service.Name
		e.metrics.GaugeFunc(drmetric.LeavingRunners, func() int64 { return int64(e.view.LeavingCount(name)) }, name)
		e.metrics.GaugeFunc(drmetric.PausedRunners, func() int64 { return int64(e.view.PausedCount(name)) }, name)
		e.metrics.GaugeFunc(drmetric.ColdRunners, func() int64 { return int64(e.view.ColdCount(name)) }, name)
		e.metrics.GaugeFunc(drmetric.LimitedRunners, func() int64 { return int64(e.view.LimitedCount(name)) }, name)
		e.metrics.GaugeFunc(drmetric.OutOfServiceRunners, func() int64 { return int64(e.view.OutOfServiceCount(name)) }, name)
		e.metrics.GaugeFunc(drmetric.OutOfServiceRunning, func() int64 { return int64(e.view.RunningOutOfService(name)) }, name)
	}
}

// updateRetryBudgets adapts this VM's part of the retry budget whenever the
// number of VMs changes, until the Edge is closed.
func (e *Edge) updateRetryBudgets() {
	vms := 0
	for e.Clock.Sleep(e.ctx, budgetUpdateInterval) == nil {
		if current := e.allowances.VMs(); current != vms {
			vms = current
			e.budgets.Set(e.vmRetryBudget(vms))
		}
	}
}

// ready reports whether this VM can serve requests and, if it can't, the
// reason.
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

// handleStatus serves the metrics and answers readiness checks, with status
// 503 and the reason while this VM isn't ready.
func (e *Edge) handleStatus(ctx *fasthttp.RequestCtx) {
	if e.Platform.Wire.IsReadiness(&ctx.Request.Header) {
		if ok, reason := e.ready(); !ok {
			ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		}
		return
	}
	if string(ctx.Path()) == ExplainPath {
		e.handleExplain(ctx)
		return
	}
	if string(ctx.Path()) != "/metrics" {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	e.registerServiceMetrics()
	ctx.SetContentType(drmetric.ContentType)
	if err := e.metrics.Write(ctx); err != nil {
		log.WithField("event", "metrics-failed").WithError(err).Error("")
	}
}
