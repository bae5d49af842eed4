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

// Owner keeps the runners that this VM owns, one goroutine each, and takes
// over runners whose owner is gone.
type Owner struct {
	p      *Place
	speeds *speeds
	pokes  chan struct{}

	mu       sync.Mutex
	keepers  map[string]*keeper // by runner, the newest
	active   map[uint64]bool    // fences under which orders may be on their way
	claiming drcollection.Set[string]
	orphans  map[string]time.Time // runners without owner, since when
	draining bool
	changed  chan struct{} // closed when a keeper publishes or ends
	work     sync.WaitGroup
}

func newOwner(p *Place) *Owner {
	return &Owner{
		p: p, speeds: newSpeeds(), pokes: make(chan struct{}, 1),
		keepers: make(map[string]*keeper), active: make(map[uint64]bool),
		claiming: make(drcollection.Set[string]), orphans: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ledgerChanged wakes what a record concerns: the keepers of the runner or
// model, and the review of all runners only if one has to be started or claimed.
func (o *Owner) ledgerChanged(c Change) {
	own, self := o.p.Ledger.Owner(c.Runner), o.p.View.Self()
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, k := range o.keepers {
		if c.Runner == "" || c.Runner == name {
			poke(k.pokes)
		}
	}
	k := o.keepers[c.Runner]
	if c.Runner != "" && (own.VM == "" || own.VM == self.VM && (k == nil || k.fence != own.Fence)) {
		poke(o.pokes)
	}
}

func (o *Owner) broadcast() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *Owner) keeper(runner string) *keeper {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keepers[runner]
}

func (o *Owner) run(ctx context.Context) {
	defer o.work.Wait()
	for ctx.Err() == nil {
		o.review(ctx)
		t := o.p.Clock.NewTimer(tick)
		select {
		case <-o.pokes:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// review starts keepers for owned runners and claims orphaned ones.
func (o *Owner) review(ctx context.Context) {
	self := o.p.View.Self()
	fleet := newFleet(o.p.View)
	listed := make(drcollection.Set[string])
	for _, f := range o.p.Catalogue.EngineFleets() {
		fencing := o.p.Catalogue.ChecksFencing(f)
		for _, b := range o.p.View.Backends(f) {
			listed.Add(b.VM)
			o.reviewRunner(ctx, b, fencing, self, fleet)
		}
	}
	for _, name := range o.p.Ledger.Runners() {
		if !listed.Has(name) && o.p.View.Gone(name) {
			// Somebody must release the rights on a runner that is gone.
			o.reviewRunner(ctx, drmember.Backend{VM: name}, true, self, fleet)
		}
	}
	o.settleOldIntents(ctx, self)
}

func (o *Owner) reviewRunner(ctx context.Context, b drmember.Backend, fencing bool, self drmember.Member, f fleet) {
	own := o.p.Ledger.Owner(b.VM)
	// The follower of the stream calls ledgerChanged under its own lock, so it
	// must not be asked while o.mu is held.
	logDown := o.p.logDown()
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.keeps(own) {
		delete(o.orphans, b.VM)
	} else if _, known := o.orphans[b.VM]; !known {
		o.orphans[b.VM] = o.p.Clock.Now()
	}
	if own.VM == self.VM && own.Incarnation == self.Incarnation {
		if k := o.keepers[b.VM]; k == nil || k.fence != own.Fence {
			o.start(ctx, b, fencing, own)
		}
		return
	}
	restarted := own.VM == self.VM
	if o.draining || o.claiming.Has(b.VM) || logDown || !restarted && f.keeps(own) {
		return
	}
	orphaned := o.p.Clock.Since(o.orphans[b.VM])
	if own.VM != "" && !f.lost(own.VM) {
		orphaned -= claimPause
	}
	if !restarted && !o.preferred(b, self, orphaned) {
		return
	}
	o.claiming.Add(b.VM)
	o.work.Go(func() { o.claim(ctx, b.VM, own.Fence, self) })
}

// preferred reports whether this VM ranks first for the runner among the
// candidates of the runner's zone, or among all if the zone has none. For each
// claimPause that the runner has been without owner, the next VM in rank may
// claim it too, in case those before cannot.
func (o *Owner) preferred(b drmember.Backend, self drmember.Member, orphaned time.Duration) bool {
	all := o.p.View.Candidates()
	var near []drmember.Member
	for _, m := range all {
		if m.Zone == b.Zone {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = all
	}
	ranked := drmember.Rank("runner/"+b.VM, near)
	if len(near) < len(all) {
		ranked = append(ranked, drmember.Rank("runner/"+b.VM, all)...)
	}
	i := slices.IndexFunc(ranked, func(m drmember.Member) bool { return m.VM == self.VM })
	return i >= 0 && orphaned >= time.Duration(i)*claimPause
}

// claim appends an own record. Whether it was accepted shows in the ledger; a
// lost answer needs nothing, because the fold accepts one record per basedOn.
func (o *Owner) claim(ctx context.Context, runner string, basedOn uint64, self drmember.Member) {
	_, err := o.p.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Own{Own: &drpb.PlacementOwn{
		Runner: runner, Vm: self.VM, Incarnation: self.Incarnation, BasedOn: basedOn,
	}}})
	if err != nil {
		_ = o.p.Clock.Sleep(ctx, retryPause)
	}
	o.mu.Lock()
	delete(o.claiming, runner)
	o.mu.Unlock()
	poke(o.pokes)
}

// start starts a keeper. The caller holds o.mu.
func (o *Owner) start(ctx context.Context, b drmember.Backend, fencing bool, own Ownership) {
	if ctx.Err() != nil {
		return
	}
	k := newKeeper(o, b, fencing, own)
	o.keepers[b.VM] = k
	o.active[own.Fence] = true
	o.p.record(drtimeline.RunnerOwned, b.VM, key{}, "")
	o.work.Go(func() {
		k.run(ctx)
		o.mu.Lock()
		delete(o.active, k.fence)
		if o.keepers[b.VM] == k {
			delete(o.keepers, b.VM)
		}
		o.mu.Unlock()
		o.broadcast()
		poke(o.pokes)
	})
}

// settleOldIntents confirms that orders under fencing tokens that this VM no
// longer uses will not be sent: those of an earlier process, and those of
// keepers that ended because another VM took over.
func (o *Owner) settleOldIntents(ctx context.Context, self drmember.Member) {
	if o.p.logDown() {
		return
	}
	for runner, ins := range o.p.Ledger.doubtful() {
		for _, in := range ins {
			if in.VM != self.VM || in.Incarnation > self.Incarnation {
				continue
			}
			o.mu.Lock()
			busy := in.Incarnation == self.Incarnation && (o.active[in.Fence] || o.claiming.Has(runner))
			o.mu.Unlock()
			current := o.p.Ledger.Owner(runner)
			if busy || current.Fence == in.Fence {
				continue
			}
			_, _ = o.p.append(ctx, giveUp(runner, in.Fence, false))
		}
	}
}

func giveUp(runner string, fence uint64, clean bool) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_GiveUp{GiveUp: &drpb.PlacementGiveUp{
		Runner: runner, Fence: fence, Clean: clean,
	}}}
}

func (o *Owner) drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	for _, k := range o.keepers {
		k.requestDrain()
	}
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.mu.Lock()
		left, changed := len(o.keepers)+len(o.claiming), o.changed
		for _, k := range o.keepers {
			k.requestDrain() // a claim may have been accepted since
		}
		o.mu.Unlock()
		if left == 0 {
			return
		}
		t := o.p.Clock.NewTimer(retryPause)
		select {
		case <-changed:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func notOwner(runner string) error {
	return drerror.New(drerror.NotRun, drerror.Conflict, "runner %q is not owned by this VM", runner)
}

func (o *Owner) handleWake(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var w drpb.PlacementWake
	if err := proto.Unmarshal(body, &w); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode wake call")
	}
	return o.wake(ctx, &w)
}

func (o *Owner) wake(ctx context.Context, w *drpb.PlacementWake) (*drpb.PlacementWakeReply, error) {
	k := o.keeper(w.Runner)
	if k == nil {
		return nil, notOwner(w.Runner)
	}
	if w.Grant > o.p.Ledger.Offset() {
		// The caller learned of the right first, as it does from its own grant.
		read, cancel := o.p.timeout(ctx, callTimeout/2)
		_ = o.p.Journal.WaitFor(read, w.Grant)
		cancel()
	}
	loaded, wait, err := k.wake(ctx, key{w.Model, w.Adapter}, time.Duration(w.HoldMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &drpb.PlacementWakeReply{Loaded: loaded, EstimateMs: uint64(wait.Milliseconds()), Fence: k.fence}, nil
}

func (o *Owner) handleYield(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var y drpb.PlacementYield
	if err := proto.Unmarshal(body, &y); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode yield call")
	}
	return &drpb.PlacementYieldReply{}, o.yield(&y)
}

func (o *Owner) yield(y *drpb.PlacementYield) error {
	k := o.keeper(y.Runner)
	if k == nil {
		return notOwner(y.Runner)
	}
	return k.yield(y.Model)
}

func (o *Owner) handleResidency(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var r drpb.PlacementResidency
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode residency call")
	}
	return o.report(ctx, &r), nil
}

// report takes note of uses and answers with the statuses that changed,
// waiting up to hold_ms for a change.
func (o *Owner) report(ctx context.Context, r *drpb.PlacementResidency) *drpb.PlacementResidencyReply {
	for _, u := range r.Uses {
		if k := o.keeper(u.Runner); k != nil {
			k.used(key{u.Model, u.Adapter})
		}
	}
	t := o.p.Clock.NewTimer(time.Duration(r.HoldMs) * time.Millisecond)
	defer t.Stop()
	for {
		o.mu.Lock()
		changed := o.changed
		o.mu.Unlock()
		reply := &drpb.PlacementResidencyReply{}
		for _, w := range r.Watches {
			if k := o.keeper(w.Runner); k != nil {
				if s := k.published(); s != nil && s.Version != w.Version {
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
