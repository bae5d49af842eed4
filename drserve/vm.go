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

// VM is the process of one entry VM, which accepts requests of callers and forwards
// them to backend servers.
type VM struct {
	Config
	hybridClock *drtimeline.HybridClock
	eventRing   *drtimeline.Ring
	events      drtimeline.Recorder
	metrics     *drmetric.Metrics
	meter       *meter
	peerTraffic drnet.Traffic // bytes between entry VMs
	tls         tlsConfigs

	dialer   *drnet.Dialer
	peerNode *drpeer.Node
	members  *drmember.Membership

	logClient *drlog.HTTP
	log       drlog.Log
	peerRelay *drlog.PeerRelay
	freshness *drlog.Freshness
	followers []*drlog.Follower

	config     *drconfig.Fold
	ledger     *drplacement.Ledger
	shares     *drtokenshare.Shares
	partitions [dridempotency.PartitionCount]*dridempotency.Partition
	configLog  journal

	placement       *drplacement.Placement
	shareHolder     *drtokenshare.Holder
	limiter         *drtokenshare.Limiter
	idempotencyHome *dridempotency.Home
	idempotency     *dridempotency.Reserver
	suspectNotices  *suspectNotices
	router          *drrouter.Router
	queues          *modelQueues
	gateway         *drgateway.Server
	admin           *dradmin.Server

	callerListener, peerListener, adminListener *drnet.Server

	draining   atomic.Bool
	started    atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New creates the subsystems of an entry VM and connects them. Nothing runs until
// Start.
func New(config Config) (*VM, error) {
	v := &VM{Config: config, metrics: drmetric.New()}
	v.meter = newMeter(v.metrics)
	v.hybridClock = drtimeline.NewHybridClock(config.Clock)
	v.eventRing = drtimeline.NewRing(v.hybridClock, config.Settings.VM, config.Settings.TimelineEvents)
	v.events = recorder{ring: v.eventRing, metrics: v.metrics, vm: config.Settings.VM}
	var err error
	if v.tls, err = newTLSConfigs(config.Settings.TLS, config.Clock); err != nil {
		return nil, fmt.Errorf("load the TLS certificates: %w", err)
	}
	if v.dialer, err = drnet.NewDialer(drnet.Config{Clock: config.Clock, TLS: v.tls.dial, Traffic: &v.peerTraffic}); err != nil {
		return nil, fmt.Errorf("create the dialer for other entry VMs: %w", err)
	}
	v.newPeering()
	v.newStreams()
	v.newSubsystems()
	v.newServers()
	v.registerHandlers()
	v.registerMetrics()
	return v, nil
}

// newPeering creates the membership and the node for calls between entry VMs.
func (v *VM) newPeering() {
	settings := v.Settings
	v.peerNode = drpeer.New(drpeer.Config{
		VM: settings.VM, Incarnation: v.Incarnation,
		Addresses: func(vm string) (string, bool) { return v.members.Address(vm) },
		Dialer:    v.dialer, Clock: v.Clock, Hybrid: v.hybridClock, Block: v.Block,
	})
	v.members = drmember.New(drmember.Config{
		Self:   drmember.Member{VM: settings.VM, Zone: settings.Zone, Address: settings.Addresses.Peers, Incarnation: v.Incarnation},
		Lister: drmember.NewHTTPLister("http://"+settings.VMListAddress, nil),
		Peers:  v.peerNode, Seeds: settings.Seeds, Clock: v.Clock, Events: v.events,
	})
}

// newStreams creates the log client and the states that are built from the streams of
// the log. Their followers are created by followStream.
func (v *VM) newStreams() {
	v.logClient = drlog.NewHTTP(drlog.HTTPConfig{Address: v.Settings.LogAddress, Clock: v.Clock})
	v.log = measuredLog{log: v.logClient, metrics: v.metrics}
	v.peerRelay = drlog.NewPeerRelay(drlog.PeerRelayConfig{
		Caller: v.peerNode, Self: v.Settings.VM, Members: v.reachablePeers, Clock: v.Clock,
	})
	v.config, v.ledger, v.shares = drconfig.NewFold(), drplacement.NewLedger(), drtokenshare.NewShares()
	for i := range v.partitions {
		v.partitions[i] = dridempotency.NewPartition(dridempotency.Window(time.Duration(v.Settings.Retention)))
	}
	v.suspectNotices = &suspectNotices{caller: v.peerNode, view: v.members, metrics: v.metrics}
	v.suspectNotices.suspects = drrouter.NewSuspects(v.Clock, v.Settings.VM, v.suspectNotices)
}

// followStream adds a follower that applies the records of stream to folder, and
// returns the journal for appending to it. Pause returns the time between two reads; nil
// means that the follower reads continuously with long polls.
func (v *VM) followStream(stream string, folder drlog.Folder, pause func() time.Duration) journal {
	follower := drlog.NewFollower(drlog.FollowerConfig{
		Log: v.log, Stream: stream, Folder: folder, Clock: v.Clock, Peers: v.peerRelay,
		Retention: time.Duration(v.Settings.Retention), SnapshotEvery: recordsPerSnapshot,
		IsSnapshotter: func() bool { return v.ranksFirst("snapshot/" + stream) },
		Pause:         pause,
		Events:        v.events,
	})
	v.peerRelay.Add(follower)
	v.followers = append(v.followers, follower)
	return journal{log: v.log, follower: follower}
}

// newSubsystems creates the subsystems for limits, placement, at-most-once execution
// and routing.
func (v *VM) newSubsystems() {
	v.configLog = v.followStream(drlog.StreamConfig, &instrumentedFold{Fold: v.config, vm: v}, nil)
	v.freshness = drlog.NewFreshness(drlog.FreshnessConfig{
		Followers: v.followers[:1], Peers: v.peerRelay, Members: v.majorityMembers, Self: v.Settings.VM,
		Clock: v.Clock, ServeWithoutLog: time.Duration(v.Settings.ServeWithoutLog), Events: v.events,
	})
	engines := newEngineClients(v.Clock)
	v.placement = drplacement.New(drplacement.Config{
		Policy: v.Policies.Place, Clock: v.Clock, Ledger: v.ledger, Journal: v.followStream(drlog.StreamPlacement, v.ledger, nil),
		Catalogue: catalogue{v.config}, View: v.members, Caller: v.peerNode, Recorder: v.events,
		Dial: engines.dial, LoadsPerSecond: v.Settings.WeightStoreLoads,
	})
	engines.residency = v.placement.Residency()
	v.shareHolder = drtokenshare.NewHolder(drtokenshare.HolderConfig{
		Clock: v.Clock, View: v.members, Shares: v.shares, Journal: v.followStream(drlog.StreamShares, v.shares, nil),
		Limits: accountLimits{v.config}, Recorder: v.events,
	})
	v.config.OnChange(func(drconfig.Config, drconfig.Config) { v.shareHolder.AcquireNow() })
	v.limiter = drtokenshare.New(drtokenshare.Config{
		Clock: v.Clock, View: v.members, Shares: v.shares, Limits: accountLimits{v.config}, Caller: v.peerNode,
		Holder: v.shareHolder, Policy: v.Policies.Limit, Meter: v.meter,
	})
	v.newIdempotency()
	v.suspectNotices.journal = v.followStream(drlog.StreamSuspects, v.suspectNotices, nil)
	residency := residencyAdapter{placement: v.placement, engines: engines, onWake: func(m string) { v.queues.updateWindow(m) }}
	v.router = drrouter.New(drrouter.Config{
		Clock: v.Clock, Zone: v.Settings.Zone, Policy: v.Policies.Route, Residency: residency, Engines: engines, Waker: residency,
		Suspects: v.suspectNotices.suspects, Recorder: v.events,
		VMs: func() int { return len(v.members.Candidates()) },
	})
}

// newIdempotency creates the at-most-once execution of calls with an
// Idempotency-Key, whose records are partitioned over several streams.
func (v *VM) newIdempotency() {
	var journals [dridempotency.PartitionCount]dridempotency.Journal
	for i, p := range v.partitions {
		stream := fmt.Sprint(drlog.StreamOncePrefix, i)
		journals[i] = v.followStream(stream, p, func() time.Duration { return v.keyedStreamPause(stream) })
	}
	v.idempotencyHome = dridempotency.NewHome(dridempotency.HomeConfig{Clock: v.Clock, View: v.members, Partitions: v.partitions, Journals: journals})
	v.idempotency = dridempotency.New(dridempotency.Config{
		Clock: v.Clock, View: v.members, Caller: v.peerNode, Home: v.idempotencyHome, Partitions: v.partitions, Recorder: v.events,
	})
}

// newServers creates the queues and the servers for callers and operators.
func (v *VM) newServers() {
	v.queues = &modelQueues{
		clock: v.Clock, events: v.events, config: v.config, policy: v.Policies.Queue,
		maxBytes: int64(v.Settings.Limits.QueueBytes), concurrency: v.router.DispatchSlots, requestReplica: v.requestReplica,
		queues: newQueueMap(),
	}
	services := drrouter.NewServices(drrouter.ServicesConfig{
		Clock: v.Clock, Zone: v.Settings.Zone, Backends: v.members, Caller: drrouter.HTTPCaller{},
		Suspects: v.suspectNotices.suspects, Recorder: v.events,
	})
	v.gateway = drgateway.New(drgateway.Config{
		Clock: v.Clock, Directory: newDirectory(v.config, v.Settings.Secret.Bytes()), Limiter: limiterAdapter{v.limiter},
		Queue: v.queues, Once: idempotencyAdapter{v.idempotency, v.metrics}, Generator: drgateway.GeneratorOf(v.router), Services: services,
		Freshness: freshnessAdapter{v.freshness}, Recorder: v.events, MaxBody: int(v.Settings.Limits.MaxBody),
		Meter: v.meter, Loaded: v.hasLoadedReplica,
	})
	var operators []dradmin.Operator
	for _, t := range v.Settings.OperatorTokens {
		operators = append(operators, dradmin.Operator{Name: t.Name, Token: string(t.Token.Bytes())})
	}
	v.admin = dradmin.New(dradmin.Config{Backend: adminBackend{v}, Clock: v.Clock, Operators: operators})
}

// registerHandlers registers the handlers for calls from other entry VMs.
func (v *VM) registerHandlers() {
	v.members.Register(v.peerNode)
	v.peerRelay.Register(v.peerNode)
	v.placement.Register(v.peerNode)
	v.shareHolder.Register(v.peerNode)
	v.idempotencyHome.Register(v.peerNode)
	v.suspectNotices.register(v.peerNode)
	v.registerAdminHandlers(v.peerNode)
}

// Start opens the listeners and starts the background tasks, which run until Drain or
// Close. If a listener cannot be opened, it closes the others and starts no task. It
// may be called once.
func (v *VM) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	if err := v.listen(ctx); err != nil {
		cancel()
		return errors.Join(err, v.closeListeners(ctx))
	}
	v.spawn(ctx, "membership", v.members.Run)
	for _, f := range v.followers {
		v.spawn(ctx, "follow-"+f.Stream(), func(ctx context.Context) { _ = f.Run(ctx) })
	}
	v.spawn(ctx, "freshness", func(ctx context.Context) { _ = v.freshness.Run(ctx) })
	v.spawn(ctx, "placement", v.placement.Run)
	v.spawn(ctx, "shares", v.shareHolder.Run)
	v.spawn(ctx, "queues", v.refreshQueues)
	v.spawn(ctx, "prefix-maps", v.followPrefixCaches)
	v.spawn(ctx, "metrics", v.measureIdleAccelerators)
	v.started.Store(true)
	v.events.Record(drtimeline.Event{Name: drtimeline.VMStarted, Detail: "zone=" + v.Settings.Zone})
	return nil
}

// listen opens the listeners for other entry VMs, operators and callers.
func (v *VM) listen(ctx context.Context) error {
	addresses := v.Settings.Addresses
	var err error
	if v.peerListener, err = listenWithRole(ctx, "peers", drnet.Config{Address: addresses.Peers, Clock: v.Clock, TLS: v.tls.peers, Traffic: &v.peerTraffic, Handler: v.peerNode.ServeConn}); err != nil {
		return fmt.Errorf("listen for other entry VMs: %w", err)
	}
	if v.adminListener, err = listenWithRole(ctx, "admin", drnet.Config{Address: addresses.Admin, Clock: v.Clock, TLS: v.tls.operators, Handler: v.admin.ServeConn}); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	v.callerListener, err = listenWithRole(ctx, "callers", drnet.Config{
		Address: addresses.Callers, Clock: v.Clock, TLS: v.tls.callers, MaxConnections: v.Settings.Limits.Connections,
		Handler: func(c net.Conn) {
			if err := v.gateway.ServeConn(c); err != nil {
				log.WithFields(log.Fields{"event": "caller-connection-ended", "error": err}).Debug("")
			}
		},
	})
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

// listenWithRole opens a listener whose goroutines, also those of its connections,
// carry the role's profile label.
func listenWithRole(ctx context.Context, role string, config drnet.Config) (server *drnet.Server, err error) {
	withRole(ctx, role, func(context.Context) { server, err = drnet.Listen(config) })
	return server, err
}

func (v *VM) refreshQueues(ctx context.Context) {
	for v.Clock.Sleep(ctx, queueRefreshPeriod) == nil {
		v.queues.refreshWindows()
	}
}

// requestReplica asks for another replica of a model in the background.
func (v *VM) requestReplica(model string) {
	v.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
		defer cancel()
		// An error is dropped: a refusal means that the selectors allow no more
		// replicas now.
		_ = v.placement.Waker().Demand(ctx, model)
	})
}

// hasLoadedReplica reports whether this VM knows a runner on which the model with the
// adapter is loaded.
func (v *VM) hasLoadedReplica(model, adapter string) bool {
	return len(v.placement.Residency().Loaded(model, adapter)) > 0
}

// CallersAddress returns the address that callers connect to. It may be called after
// Start only.
func (v *VM) CallersAddress() string { return v.callerListener.Addr().String() }

// AdminAddress returns the address that operators connect to. It may be called after
// Start only.
func (v *VM) AdminAddress() string { return v.adminListener.Addr().String() }
