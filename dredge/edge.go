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
	// budgetShare is the part of the permitted retries that the VMs use
	// together; windows slide and VMs count on their own.
	budgetShare = 0.5
	// budgetVMs is the number of VMs that share the extra retries before the
	// controller has told it.
	budgetVMs = 64
	// drainNotice is how long after SIGTERM new connections still come: the
	// platform needs two failed readiness checks.
	drainNotice = 2500 * time.Millisecond
	// exitMargin is left of the grace period to exit in.
	exitMargin = 900 * time.Millisecond
	// refuseMargin before the end, requests that no runner has are refused.
	refuseMargin = 700 * time.Millisecond
	// drainPoll is the pause between looks at the running requests.
	drainPoll = 50 * time.Millisecond
	// pageTimeout bounds requests for readiness and metrics.
	pageTimeout = 5 * time.Second
	// upkeepInterval is the pause between updates of budgets and metrics.
	upkeepInterval = time.Second
	// garbagePercent trades processor time for memory.
	garbagePercent = 50
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
	view       *drfleetview.View
	allowances *drtokenpool.Allowances
	budgets    *drproxy.Budgets
	metrics    *drmetric.Metrics
	dialer     *drnet.Dialer
	peers      *drpeer.Node
	node       *drcontroller.Node
	forward    *drproxy.Server
	pages      *fasthttp.Server
	listeners  []*drnet.Server
	callers    *drnet.Server
	retries    atomic.Pointer[RetryBudget]
	draining   atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns an Edge. Start starts it.
func New(c Config) (*Edge, error) {
	debug.SetGCPercent(garbagePercent)
	if c.Settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(c.Settings.MemoryLimit))
	}
	dialer, err := drnet.NewDialer(drnet.Config{Clock: c.Clock, Loops: 1})
	if err != nil {
		return nil, fmt.Errorf("start dialer: %w", err)
	}
	e := &Edge{
		Config: c, view: drfleetview.New(c.Clock), allowances: drtokenpool.NewAllowances(c.Clock), metrics: drmetric.New(), dialer: dialer,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	s := c.Settings
	e.peers = drpeer.New(drpeer.Config{
		VM: s.VM, Incarnation: c.Incarnation, Dialer: dialer, Clock: c.Clock,
		Addresses: func(vm string) (string, bool) { return e.node.PeerAddress(vm) },
	})
	e.node = drcontroller.New(drcontroller.Config{
		Clock: c.Clock, VM: s.VM, Zone: s.Zone, Address: cmp.Or(s.Addresses.PeersAdvertised, s.Addresses.Peers), Incarnation: c.Incarnation,
		Log: c.Platform.Log, Codec: c.Platform.Codec, Engines: c.Platform.Engines, Peers: e.peers, Registry: e.peers,
		Metrics: e.metrics, View: e.view, Allowances: e.allowances, OrderPause: time.Duration(s.OrderPause),
		Processor: s.Processor, Propagation: time.Duration(s.Propagation), RunnerDrain: time.Duration(s.RunnerDrain),
	})
	e.allowances.SetSlack(s.QuotaSlack)
	e.retries.Store(&s.RetryBudget)
	e.budgets = drproxy.NewBudgets(e.budget(budgetVMs))
	e.forward = drproxy.New(drproxy.Config{
		Clock: c.Clock, Zone: s.Zone, Wire: c.Platform.Wire, View: e.view, Allowances: e.allowances, Reserver: e.node,
		Budgets: e.budgets, Metrics: e.metrics, Dialer: dialer,
	})
	e.forward.SetFreshness(time.Duration(s.Revocation) - revocationMargin)
	e.pages = &fasthttp.Server{
		Handler: e.page, ReadTimeout: pageTimeout, IdleTimeout: pageTimeout, NoDefaultServerHeader: true,
	}
	return e, nil
}

// apply takes the settings that may change while the process runs.
func (e *Edge) apply(s Settings) {
	e.allowances.SetSlack(s.QuotaSlack)
	e.retries.Store(&s.RetryBudget)
	e.forward.SetFreshness(time.Duration(s.Revocation) - revocationMargin)
	e.budgets.Set(e.budget(e.allowances.VMs()))
}

// budget returns this VM's part of the retry budget.
func (e *Edge) budget(vms int) drbalancer.BudgetConfig {
	b := e.retries.Load()
	extra := b.Extra * budgetShare / float64(max(vms, 1))
	return drbalancer.BudgetConfig{
		Clock: e.Clock, Share: b.Share * budgetShare,
		Floor: extra / time.Duration(b.Window).Seconds(), Burst: max(extra, 1),
	}
}

// Start opens the listeners and starts the node.
func (e *Edge) Start() error {
	a := e.Settings.Addresses
	pages := func(c net.Conn) { _ = e.pages.ServeConn(c) } // its errors are those of the asking side
	for _, l := range []struct {
		address string
		handler func(net.Conn)
	}{{a.Peers, e.peers.ServeConn}, {a.Readiness, pages}, {a.Metrics, pages}, {a.Callers, e.forward.ServeConn}} {
		if l.address == "" {
			continue
		}
		s, err := drnet.Listen(drnet.Config{Address: l.address, Clock: e.Clock, Handler: l.handler, Loops: 1})
		if err != nil {
			return errors.Join(err, e.Close())
		}
		e.listeners = append(e.listeners, s)
		e.callers = s
	}
	e.registerMetrics()
	e.node.Start()
	go e.upkeep()
	log.WithFields(log.Fields{"event": "started", "vm": e.Settings.VM, "zone": e.Settings.Zone, "callers": a.Callers,
		"peers": a.Peers, "store": e.Settings.StoreAddress, "incarnation": e.Incarnation}).Info("")
	return nil
}

func (e *Edge) registerMetrics() {
	e.metrics.RegisterProcess()
	e.metrics.CounterFunc(drmetric.LogLinesDropped, e.Dropped)
	e.metrics.GaugeFunc(drmetric.DeploymentAge, func() int64 { d, _, _ := e.view.Ages(); return int64(d) })
	e.metrics.GaugeFunc(drmetric.RunnersAge, func() int64 { _, r, _ := e.view.Ages(); return int64(r) })
	e.metrics.GaugeFunc(drmetric.KnownRunners, func() int64 { return int64(len(e.view.Runners(""))) })
	e.metrics.GaugeFunc(drmetric.Controlling, func() int64 {
		if e.node.Controlling() {
			return 1
		}
		return 0
	})
}

// upkeep gives each VM its part of the retry budget.
func (e *Edge) upkeep() {
	vms := 0
	for e.Clock.Sleep(e.ctx, upkeepInterval) == nil {
		if n := e.allowances.VMs(); n != vms {
			vms = n
			e.budgets.Set(e.budget(vms))
		}
	}
}

// ready reports whether this VM can serve requests, and why not.
func (e *Edge) ready() (ok bool, why string) {
	age, _, known := e.view.Ages()
	switch {
	case e.draining.Load():
		return false, "draining"
	case !known:
		return false, "no configuration yet"
	case age > e.forward.Freshness():
		return false, "configuration not confirmed"
	}
	return true, ""
}

// page answers readiness checks and serves the metrics.
func (e *Edge) page(ctx *fasthttp.RequestCtx) {
	if e.Platform.Wire.IsReadiness(&ctx.Request.Header) {
		if ok, why := e.ready(); !ok {
			ctx.Error(why, fasthttp.StatusServiceUnavailable)
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
	began := e.Clock.Now()
	e.draining.Store(true)
	e.forward.StartDrain()
	e.node.Retire()
	log.WithFields(log.Fields{"event": "draining", "vm": e.Settings.VM, "running": e.forward.Busy()}).Info("")
	end := began.Add(time.Duration(e.Settings.GracePeriod) - exitMargin)
	for e.Clock.Since(began) < drainNotice {
		_ = e.Clock.Sleep(e.ctx, drainPoll)
	}
	e.callers.StopAccepting()
	waiting := true
	for e.Clock.Now().Before(end) {
		if waiting && e.Clock.Now().After(end.Add(-refuseMargin)) {
			waiting = false
			e.forward.EndWaiting()
		}
		e.forward.CloseIdle()
		if e.forward.Connections() == 0 {
			break
		}
		_ = e.Clock.Sleep(e.ctx, drainPoll)
	}
	log.WithFields(log.Fields{"event": "stopped", "vm": e.Settings.VM, "cut": e.forward.Busy(), "took": e.Clock.Since(began)}).Info("")
	return e.Close()
}

// closeLimit bounds the wait for each part at the end; all of them together
// must fit into exitMargin.
const closeLimit = 100 * time.Millisecond

// Close ends the Edge without waiting for requests.
func (e *Edge) Close() error {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.node.Close()
	}()
	select {
	case <-closed:
	case <-time.After(closeLimit): // a call to the store or a runner is under way
	}
	e.cancel()
	e.forward.Close()
	err := e.peers.Close()
	for _, l := range e.listeners {
		ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		if closeErr := l.Close(ctx); closeErr != nil && !errors.Is(closeErr, context.DeadlineExceeded) {
			err = errors.Join(err, closeErr)
		}
		cancel()
	}
	return errors.Join(err, e.dialer.Close())
}
