package drserve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drtimeline"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// VM is one entry VM.
type VM struct {
	Config
	hybrid  *drtimeline.HybridClock
	ring    *drtimeline.Ring
	events  drtimeline.Recorder
	metrics *drmetric.Metrics
	meter   *meter
	traffic drnet.Traffic // between entry VMs
	tls     tlsConfigs

	dialer  *drnet.Dialer
	node    *drpeer.Node
	members *drmember.Membership

	client    *drlog.HTTP
	log       drlog.Log
	relay     *drlog.PeerRelay
	freshness *drlog.Freshness
	followers []*drlog.Follower

	fold       *drconfig.Fold
	ledger     *drplacement.Ledger
	shares     *drtokenshare.Shares
	partitions [dridempotency.PartitionCount]*dridempotency.Partition
	configLog  journal

	place   *drplacement.Placement
	holder  *drtokenshare.Holder
	limiter *drtokenshare.Limiter
	home    *dridempotency.Home
	once    *dridempotency.Reserver
	strikes *strikes
	router  *drrouter.Router
	queues  *queues
	gate    *drgateway.Server
	admin   *dradmin.Server

	callers, peers, operators *drnet.Server

	draining atomic.Bool
	started  atomic.Bool
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// New wires an entry VM without starting it.
func New(c Config) (*VM, error) {
	v := &VM{Config: c, metrics: drmetric.New()}
	v.meter = newMeter(v.metrics)
	v.hybrid = drtimeline.NewHybridClock(c.Clock)
	v.ring = drtimeline.NewRing(v.hybrid, c.Settings.VM, c.Settings.TimelineEvents)
	v.events = recorder{ring: v.ring, metrics: v.metrics, vm: c.Settings.VM}
	var err error
	if v.tls, err = newTLSConfigs(c.Settings.TLS, c.Clock); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	if v.dialer, err = drnet.NewDialer(drnet.Config{Clock: c.Clock, TLS: v.tls.dial, Traffic: &v.traffic}); err != nil {
		return nil, fmt.Errorf("dialer: %w", err)
	}
	v.newPeers()
	v.newStreams()
	v.newCore()
	v.newGate()
	v.register()
	v.registerMetrics()
	return v, nil
}

// newPeers makes the calls between VMs and the membership.
func (v *VM) newPeers() {
	s := v.Settings
	v.node = drpeer.New(drpeer.Config{
		VM: s.VM, Incarnation: v.Incarnation,
		Addresses: func(vm string) (string, bool) { return v.members.Address(vm) },
		Dialer:    v.dialer, Clock: v.Clock, Hybrid: v.hybrid, Block: v.Block,
	})
	v.members = drmember.New(drmember.Config{
		Self:   drmember.Member{VM: s.VM, Zone: s.Zone, Address: s.Addresses.Peers, Incarnation: v.Incarnation},
		Lister: drmember.NewHTTPLister("http://"+s.VMListAddress, nil),
		Peers:  v.node, Seeds: s.Seeds, Clock: v.Clock, Events: v.events,
	})
}

// newStreams makes the folds of the log's streams and their followers.
func (v *VM) newStreams() {
	v.client = drlog.NewHTTP(drlog.HTTPConfig{Address: v.Settings.LogAddress, Clock: v.Clock})
	v.log = measuredLog{log: v.client, metrics: v.metrics}
	v.relay = drlog.NewPeerRelay(drlog.PeerRelayConfig{
		Caller: v.node, Self: v.Settings.VM, Members: v.reachable, Clock: v.Clock,
	})
	v.fold, v.ledger, v.shares = drconfig.NewFold(), drplacement.NewLedger(), drtokenshare.NewShares()
	for i := range v.partitions {
		v.partitions[i] = dridempotency.NewPartition(dridempotency.Window(time.Duration(v.Settings.Retention)))
	}
	v.strikes = &strikes{caller: v.node, view: v.members, metrics: v.metrics}
	v.strikes.suspects = drrouter.NewSuspects(v.Clock, v.Settings.VM, v.strikes)
}

// follow adds a follower of the stream and returns its journal.
func (v *VM) follow(stream string, f drlog.Folder, pause func() time.Duration) journal {
	follower := drlog.NewFollower(drlog.FollowerConfig{
		Log: v.log, Stream: stream, Folder: f, Clock: v.Clock, Peers: v.relay,
		Retention: time.Duration(v.Settings.Retention), SnapshotEvery: snapshotEvery,
		IsSnapshotter: func() bool { return v.isHome("snapshot/" + stream) },
		Pause:         pause,
		Events:        v.events,
	})
	v.relay.Add(follower)
	v.followers = append(v.followers, follower)
	return journal{log: v.log, follower: follower}
}

// newCore makes limits, placement, at-most-once execution and routing.
func (v *VM) newCore() {
	v.configLog = v.follow(drlog.StreamConfig, &configFold{Fold: v.fold, vm: v}, nil)
	v.freshness = drlog.NewFreshness(drlog.FreshnessConfig{
		Followers: v.followers[:1], Peers: v.relay, Members: v.counted, Self: v.Settings.VM,
		Clock: v.Clock, ServeWithoutLog: time.Duration(v.Settings.ServeWithoutLog), Events: v.events,
	})
	engines := newEngines(v.Clock)
	v.place = drplacement.New(drplacement.Config{
		Policy: v.Policies.Place, Clock: v.Clock, Ledger: v.ledger, Journal: v.follow(drlog.StreamPlacement, v.ledger, nil),
		Catalogue: catalogue{v.fold}, View: v.members, Caller: v.node, Recorder: v.events,
		Dial: engines.dial, LoadsPerSecond: v.Settings.WeightStoreLoads,
	})
	engines.residency = v.place.Residency()
	v.holder = drtokenshare.NewHolder(drtokenshare.HolderConfig{
		Clock: v.Clock, View: v.members, Shares: v.shares, Journal: v.follow(drlog.StreamShares, v.shares, nil),
		Limits: accountLimits{v.fold}, Recorder: v.events,
	})
	v.fold.OnChange(func(drconfig.Config, drconfig.Config) { v.holder.AcquireNow() })
	v.limiter = drtokenshare.New(drtokenshare.Config{
		Clock: v.Clock, View: v.members, Shares: v.shares, Limits: accountLimits{v.fold}, Caller: v.node,
		Holder: v.holder, Policy: v.Policies.Limit, Meter: v.meter,
	})
	v.newOnce()
	v.strikes.journal = v.follow(drlog.StreamSuspects, v.strikes, nil)
	r := residency{place: v.place, engines: engines, woken: func(m string) { v.queues.follow(m) }}
	v.router = drrouter.New(drrouter.Config{
		Clock: v.Clock, Zone: v.Settings.Zone, Policy: v.Policies.Route, Residency: r, Engines: engines, Waker: r,
		Suspects: v.strikes.suspects, Recorder: v.events,
		VMs: func() int { return len(v.members.Candidates()) },
	})
}

func (v *VM) newOnce() {
	var journals [dridempotency.PartitionCount]dridempotency.Journal
	for i, p := range v.partitions {
		stream := fmt.Sprint(drlog.StreamOncePrefix, i)
		journals[i] = v.follow(stream, p, func() time.Duration { return v.oncePause(stream) })
	}
	v.home = dridempotency.NewHome(dridempotency.HomeConfig{Clock: v.Clock, View: v.members, Partitions: v.partitions, Journals: journals})
	v.once = dridempotency.New(dridempotency.Config{
		Clock: v.Clock, View: v.members, Caller: v.node, Home: v.home, Partitions: v.partitions, Recorder: v.events,
	})
}

// newGate makes the callers' and operators' servers.
func (v *VM) newGate() {
	v.queues = &queues{
		clock: v.Clock, events: v.events, fold: v.fold, policy: v.Policies.Queue,
		maxBytes: int64(v.Settings.Limits.QueueBytes), places: v.router.DispatchSlots, demand: v.demand,
		queues: newQueueMap(),
	}
	services := drrouter.NewServices(drrouter.ServicesConfig{
		Clock: v.Clock, Zone: v.Settings.Zone, Backends: v.members, Caller: drrouter.HTTPCaller{},
		Suspects: v.strikes.suspects, Recorder: v.events,
	})
	v.gate = drgateway.New(drgateway.Config{
		Clock: v.Clock, Directory: newDirectory(v.fold, v.Settings.Secret.Bytes()), Limiter: limiter{v.limiter},
		Queue: v.queues, Once: once{v.once, v.metrics}, Generator: drgateway.GeneratorOf(v.router), Services: services,
		Freshness: freshness{v.freshness}, Recorder: v.events, MaxBody: int(v.Settings.Limits.MaxBody),
		Meter: v.meter, Loaded: v.loaded,
	})
	var operators []dradmin.Operator
	for _, t := range v.Settings.OperatorTokens {
		operators = append(operators, dradmin.Operator{Name: t.Name, Token: string(t.Token.Bytes())})
	}
	v.admin = dradmin.New(dradmin.Config{Backend: operations{v}, Clock: v.Clock, Operators: operators})
}

func (v *VM) register() {
	v.members.Register(v.node)
	v.relay.Register(v.node)
	v.place.Register(v.node)
	v.holder.Register(v.node)
	v.home.Register(v.node)
	v.strikes.register(v.node)
	v.registerOperations(v.node)
}

// Start listens and runs until Drain or Close.
func (v *VM) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	if err := v.listen(ctx); err != nil {
		cancel()
		return errors.Join(err, v.closeListeners(ctx))
	}
	v.spawn(ctx, "membership", v.members.Run)
	for _, f := range v.followers {
		v.spawn(ctx, "follow-"+f.Stream(), func(ctx context.Context) { _ = f.Run(ctx) })
	}
	v.spawn(ctx, "freshness", func(ctx context.Context) { _ = v.freshness.Run(ctx) })
	v.spawn(ctx, "placement", v.place.Run)
	v.spawn(ctx, "shares", v.holder.Run)
	v.spawn(ctx, "queues", v.refreshQueues)
	v.spawn(ctx, "prefix-maps", v.followCaches)
	v.spawn(ctx, "metrics", v.measureIdle)
	v.started.Store(true)
	v.events.Record(drtimeline.Event{Name: drtimeline.VMStarted, Detail: "zone=" + v.Settings.Zone})
	return nil
}

func (v *VM) listen(ctx context.Context) error {
	a := v.Settings.Addresses
	var err error
	if v.peers, err = serve(ctx, "peers", drnet.Config{Address: a.Peers, Clock: v.Clock, TLS: v.tls.peers, Traffic: &v.traffic, Handler: v.node.ServeConn}); err != nil {
		return fmt.Errorf("peers' listener: %w", err)
	}
	if v.operators, err = serve(ctx, "admin", drnet.Config{Address: a.Admin, Clock: v.Clock, TLS: v.tls.operators, Handler: v.admin.ServeConn}); err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	v.callers, err = serve(ctx, "callers", drnet.Config{
		Address: a.Callers, Clock: v.Clock, TLS: v.tls.callers, MaxConnections: v.Settings.Limits.Connections,
		Handler: func(c net.Conn) {
			if err := v.gate.ServeConn(c); err != nil {
				log.WithFields(log.Fields{"event": "caller-connection-ended", "error": err}).Debug("")
			}
		},
	})
	if err != nil {
		return fmt.Errorf("callers' listener: %w", err)
	}
	return nil
}

// serve listens. The goroutines of the server and its connections bear the
// role's label.
func serve(ctx context.Context, role string, c drnet.Config) (s *drnet.Server, err error) {
	withRole(ctx, role, func(context.Context) { s, err = drnet.Listen(c) })
	return s, err
}

func (v *VM) refreshQueues(ctx context.Context) {
	for v.Clock.Sleep(ctx, refreshPeriod) == nil {
		v.queues.refresh()
	}
}

// demand asks for another replica without holding up the caller.
func (v *VM) demand(model string) {
	v.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
		defer cancel()
		// A refusal means that the selectors allow no more replicas now.
		_ = v.place.Waker().Demand(ctx, model)
	})
}

// loaded reports whether this VM knows a loaded replica.
func (v *VM) loaded(model, adapter string) bool {
	return len(v.place.Residency().Loaded(model, adapter)) > 0
}

// CallersAddress returns the address that callers connect to.
func (v *VM) CallersAddress() string { return v.callers.Addr().String() }

// AdminAddress returns the address that operators connect to.
func (v *VM) AdminAddress() string { return v.operators.Addr().String() }
