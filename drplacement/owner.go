package drplacement

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Owner runs one runnerController for each runner that this VM owns, and takes
// over runners whose owner is gone.
type Owner struct {
	placement          *Placement
	speeds             *loadSpeeds
	reconcileRequested chan struct{}

	mu            sync.Mutex
	controllers   map[string]*runnerController // by runner, the one with the newest fencing token
	activeFences  map[uint64]bool              // fencing tokens under which orders may be on their way
	claiming      drcollection.Set[string]     // runners with an append of an own record under way
	orphanedSince map[string]time.Time         // by runner without a running owner
	draining      bool
	changed       chan struct{} // closed when a controller publishes a status or ends, and replaced
	goroutines    sync.WaitGroup
}

func newOwner(placement *Placement) *Owner {
	return &Owner{
		placement: placement, speeds: newLoadSpeeds(), reconcileRequested: make(chan struct{}, 1),
		controllers: make(map[string]*runnerController), activeFences: make(map[uint64]bool),
		claiming: make(drcollection.Set[string]), orphanedSince: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

// notify puts an entry into a channel of capacity 1 unless it holds one already.
// Any number of calls before the reader takes the entry wake it only once.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// ledgerChanged notifies the controller of the runner that a record concerns,
// or all of them if the record names no runner. It starts a pass over all
// runners only if a controller must be started or the runner must be claimed.
func (o *Owner) ledgerChanged(change Change) {
	own, self := o.placement.Ledger.Owner(change.Runner), o.placement.View.Self()
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, rc := range o.controllers {
		if change.Runner == "" || change.Runner == name {
			notify(rc.reconcileRequested)
		}
	}
	rc := o.controllers[change.Runner]
	if change.Runner != "" && (own.VM == "" || own.VM == self.VM && (rc == nil || rc.fence != own.Fence)) {
		notify(o.reconcileRequested)
	}
}

func (o *Owner) notifySubscribers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	o.changed = make(chan struct{})
}

// controller returns the controller of a runner, or nil if this VM runs none.
func (o *Owner) controller(runner string) *runnerController {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controllers[runner]
}

func (o *Owner) run(ctx context.Context) {
	defer o.goroutines.Wait()
	for ctx.Err() == nil {
		o.reconcile(ctx)
		t := o.placement.Clock.NewTimer(tick)
		select {
		case <-o.reconcileRequested:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// reconcile starts controllers for owned runners and claims runners without an
// owner.
func (o *Owner) reconcile(ctx context.Context) {
	self := o.placement.View.Self()
	vms := newVMStates(o.placement.View)
	listed := make(drcollection.Set[string])
	for _, f := range o.placement.Catalogue.EngineFleets() {
		checksFencing := o.placement.Catalogue.ChecksFencing(f)
		for _, b := range o.placement.View.Backends(f) {
			listed.Add(b.VM)
			o.reconcileRunner(ctx, b, checksFencing, self, vms)
		}
	}
	for _, name := range o.placement.Ledger.Runners() {
		if !listed.Has(name) && o.placement.View.Gone(name) {
			// The rights on a runner that is gone must be released by some VM.
			o.reconcileRunner(ctx, drmember.Backend{VM: name}, true, self, vms)
		}
	}
	o.endFormerIntents(ctx, self)
}

func (o *Owner) reconcileRunner(ctx context.Context, backend drmember.Backend, checksFencing bool, self drmember.Member, vms vmStates) {
	own := o.placement.Ledger.Owner(backend.VM)
	// The follower of the stream calls ledgerChanged while it holds its own
	// lock, and logDown takes that lock. Calling it while o.mu is held could
	// deadlock.
	logDown := o.placement.logDown()
	o.mu.Lock()
	defer o.mu.Unlock()
	if vms.ownerIsRunning(own) {
		delete(o.orphanedSince, backend.VM)
	} else if _, known := o.orphanedSince[backend.VM]; !known {
		o.orphanedSince[backend.VM] = o.placement.Clock.Now()
	}
	if own.VM == self.VM && own.Incarnation == self.Incarnation {
		if rc := o.controllers[backend.VM]; rc == nil || rc.fence != own.Fence {
			o.startController(ctx, backend, checksFencing, own)
		}
		return
	}
	restarted := own.VM == self.VM
	if o.draining || o.claiming.Has(backend.VM) || logDown || !restarted && vms.ownerIsRunning(own) {
		return
	}
	orphaned := o.placement.Clock.Since(o.orphanedSince[backend.VM])
	if own.VM != "" && !vms.failed(own.VM) {
		orphaned -= claimDelay
	}
	if !restarted && !o.mayClaim(backend, self, orphaned) {
		return
	}
	o.claiming.Add(backend.VM)
	o.goroutines.Go(func() { o.claim(ctx, backend.VM, own.Fence, self) })
}

// mayClaim reports whether this VM may claim a runner. At first only the VM
// that ranks first may, among the candidates in the zone of the runner, or
// among all if the zone has none. For each claimDelay that the runner has been
// without owner, the next VM in rank may claim it too, in case those before it
// cannot.
func (o *Owner) mayClaim(backend drmember.Backend, self drmember.Member, orphaned time.Duration) bool {
	all := o.placement.View.Candidates()
	var sameZone []drmember.Member
	for _, m := range all {
		if m.Zone == backend.Zone {
			sameZone = append(sameZone, m)
		}
	}
	if len(sameZone) == 0 {
		sameZone = all
	}
	ranked := drmember.Rank("runner/"+backend.VM, sameZone)
	if len(sameZone) < len(all) {
		ranked = append(ranked, drmember.Rank("runner/"+backend.VM, all)...)
	}
	i := slices.IndexFunc(ranked, func(m drmember.Member) bool { return m.VM == self.VM })
	return i >= 0 && orphaned >= time.Duration(i)*claimDelay
}

// claim appends an own record for a runner. The ledger shows whether it was
// accepted. A lost answer needs no handling, because the fold accepts only one
// record for each basedOn.
func (o *Owner) claim(ctx context.Context, runner string, basedOn uint64, self drmember.Member) {
	_, err := o.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Own{Own: &drpb.PlacementOwn{
		Runner: runner, Vm: self.VM, Incarnation: self.Incarnation, BasedOn: basedOn,
	}}})
	if err != nil {
		_ = o.placement.Clock.Sleep(ctx, retryPause)
	}
	o.mu.Lock()
	delete(o.claiming, runner)
	o.mu.Unlock()
	notify(o.reconcileRequested)
}

// startController starts the controller of a runner. The caller holds o.mu.
func (o *Owner) startController(ctx context.Context, backend drmember.Backend, checksFencing bool, ownership Ownership) {
	if ctx.Err() != nil {
		return
	}
	rc := newRunnerController(o, backend, checksFencing, ownership)
	o.controllers[backend.VM] = rc
	o.activeFences[ownership.Fence] = true
	o.placement.recordNamedEvent(drtimeline.RunnerOwned, backend.VM, modelKey{}, "")
	o.goroutines.Go(func() {
		rc.run(ctx)
		o.mu.Lock()
		delete(o.activeFences, rc.fence)
		if o.controllers[backend.VM] == rc {
			delete(o.controllers, backend.VM)
		}
		o.mu.Unlock()
		o.notifySubscribers()
		notify(o.reconcileRequested)
	})
}

// endFormerIntents confirms that this VM will send no more orders under fencing
// tokens that it no longer uses: those of an earlier process on this VM, and
// those of controllers that ended because another VM took over.
func (o *Owner) endFormerIntents(ctx context.Context, self drmember.Member) {
	if o.placement.logDown() {
		return
	}
	for runner, ins := range o.placement.Ledger.intentsByRunner() {
		for _, in := range ins {
			if in.VM != self.VM || in.Incarnation > self.Incarnation {
				continue
			}
			o.mu.Lock()
			busy := in.Incarnation == self.Incarnation && (o.activeFences[in.Fence] || o.claiming.Has(runner))
			o.mu.Unlock()
			current := o.placement.Ledger.Owner(runner)
			if busy || current.Fence == in.Fence {
				continue
			}
			_, _ = o.placement.append(ctx, giveUpRecord(runner, in.Fence, false))
		}
	}
}

func giveUpRecord(runner string, fence uint64, clean bool) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_GiveUp{GiveUp: &drpb.PlacementGiveUp{
		Runner: runner, Fence: fence, Clean: clean,
	}}}
}

// drain hands over all runners of this VM and returns when that is done or ctx
// ends. No runner is claimed from then on.
func (o *Owner) drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	for _, rc := range o.controllers {
		rc.requestDrain()
	}
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.mu.Lock()
		left, changed := len(o.controllers)+len(o.claiming), o.changed
		for _, rc := range o.controllers {
			rc.requestDrain() // a claim may have been accepted since the last pass
		}
		o.mu.Unlock()
		if left == 0 {
			return
		}
		t := o.placement.Clock.NewTimer(retryPause)
		select {
		case <-changed:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func notOwnerError(runner string) error {
	return drerror.New(drerror.NotRun, drerror.Conflict, "runner %q is not owned by this VM", runner)
}

func (o *Owner) handleWake(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var w drpb.PlacementWake
	if err := proto.Unmarshal(body, &w); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode wake call")
	}
	return o.wake(ctx, &w)
}

// wake serves a Wake call for a runner of this VM.
func (o *Owner) wake(ctx context.Context, request *drpb.PlacementWake) (*drpb.PlacementWakeReply, error) {
	rc := o.controller(request.Runner)
	if rc == nil {
		return nil, notOwnerError(request.Runner)
	}
	if request.Grant > o.placement.Ledger.Offset() {
		// The caller can learn of a right before this VM does, for instance
		// because it granted the right itself.
		read, cancel := o.placement.timeout(ctx, callTimeout/2)
		_ = o.placement.Journal.WaitFor(read, request.Grant)
		cancel()
	}
	loaded, wait, err := rc.wake(ctx, modelKey{request.Model, request.Adapter}, time.Duration(request.HoldMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &drpb.PlacementWakeReply{Loaded: loaded, EstimateMs: uint64(wait.Milliseconds()), Fence: rc.fence}, nil
}

func (o *Owner) handleYield(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var y drpb.PlacementYield
	if err := proto.Unmarshal(body, &y); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode yield call")
	}
	return &drpb.PlacementYieldReply{}, o.yield(&y)
}

func (o *Owner) yield(request *drpb.PlacementYield) error {
	rc := o.controller(request.Runner)
	if rc == nil {
		return notOwnerError(request.Runner)
	}
	return rc.requestRelease(request.Model)
}

func (o *Owner) handleResidency(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var r drpb.PlacementResidency
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode residency call")
	}
	return o.waitForStatuses(ctx, &r), nil
}

// waitForStatuses records the reported uses and returns the statuses that
// differ from the versions that the caller has. If there are none, it waits up
// to hold_ms for a change.
func (o *Owner) waitForStatuses(ctx context.Context, request *drpb.PlacementResidency) *drpb.PlacementResidencyReply {
	for _, u := range request.Uses {
		if rc := o.controller(u.Runner); rc != nil {
			rc.recordUse(modelKey{u.Model, u.Adapter})
		}
	}
	t := o.placement.Clock.NewTimer(time.Duration(request.HoldMs) * time.Millisecond)
	defer t.Stop()
	for {
		o.mu.Lock()
		changed := o.changed
		o.mu.Unlock()
		reply := &drpb.PlacementResidencyReply{}
		for _, w := range request.Watches {
			if rc := o.controller(w.Runner); rc != nil {
				if s := rc.publishedStatus(); s != nil && s.Version != w.Version {
					reply.Statuses = append(reply.Statuses, s)
				}
			}
		}
		if len(reply.Statuses) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-t.C():
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}
