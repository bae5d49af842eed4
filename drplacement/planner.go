package drplacement

import (
	"context"
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

// planPause is the shortest time between two passes over all models, because
// each record of the placement stream can trigger a pass.
const planPause = 200 * time.Millisecond

// Planner grants rights for the models whose home VM is this VM. If several VMs
// plan the same model for a while, no harm is done: the fold accepts no more
// grants than decided.
type Planner struct {
	placement     *Placement
	planRequested chan struct{}
	selector      *runnerSelector

	mu             sync.Mutex
	modelLocks     map[string]chan struct{} // by model: channel of capacity 1 that holds an entry while the model is planned
	homeByModel    map[string]string        // cached result of the ranking
	homeCandidates []drmember.Member        // candidates that homeByModel was computed from
}

func newPlanner(placement *Placement) *Planner {
	return &Planner{
		placement: placement, planRequested: make(chan struct{}, 1), selector: newRunnerSelector(placement),
		modelLocks: make(map[string]chan struct{}), homeByModel: make(map[string]string),
	}
}

func (pl *Planner) requestPlan() { notify(pl.planRequested) }

func (pl *Planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !pl.placement.logDown() {
			pl.planAll(ctx)
		}
		if pl.placement.Clock.Sleep(ctx, planPause) != nil {
			return
		}
		t := pl.placement.Clock.NewTimer(tick - planPause)
		select {
		case <-pl.planRequested:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// homeVM returns the VM that plans a model, or an empty string if there is no
// candidate.
func (pl *Planner) homeVM(model string) string {
	return pl.homeVMAmongCandidates(model, pl.placement.View.Candidates())
}

// homeVMAmongCandidates returns the candidate that ranks first for a model. It
// caches the result until the candidates change.
func (pl *Planner) homeVMAmongCandidates(model string, candidates []drmember.Member) string {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if !sameVMs(candidates, pl.homeCandidates) {
		clear(pl.homeByModel)
		pl.homeCandidates = candidates
	}
	h, ok := pl.homeByModel[model]
	if !ok {
		if r := drmember.Rank("model/"+model, candidates); len(r) > 0 {
			h = r[0].VM
		}
		pl.homeByModel[model] = h
	}
	return h
}

// sameVMs reports whether two lists name the same VMs in the same order. The
// pointer comparison is a shortcut for an unchanged list.
func sameVMs(a, b []drmember.Member) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	for i := range a {
		if a[i].VM != b[i].VM {
			return false
		}
	}
	return true
}

// planAll plans all models of which this VM is the home VM.
func (pl *Planner) planAll(ctx context.Context) {
	models := drcollection.NewSet(pl.placement.Catalogue.Models()...)
	for _, m := range pl.placement.Ledger.Models() {
		models.Add(m) // the decided number of a model that is no longer selected becomes 0
	}
	self, candidates := pl.placement.View.Self().VM, pl.placement.View.Candidates()
	for _, m := range drcollection.Sorted(models) {
		if pl.homeVMAmongCandidates(m, candidates) == self && ctx.Err() == nil {
			// A failed model is planned again in the next pass.
			_ = pl.planModel(ctx, m)
		}
	}
}

// planModel appends the decided number of replicas if it has changed, and
// grants rights up to the minimum.
func (pl *Planner) planModel(ctx context.Context, model string) error {
	unlock, err := pl.lockModel(ctx, model)
	if err != nil {
		return err
	}
	defer unlock()
	// The offset is read before the model. If the configuration changes in
	// between, the number is newer than its offset, and the next configuration
	// corrects that. A number older than its offset would not be corrected.
	offset := pl.placement.Catalogue.Offset()
	spec, ok := pl.placement.Catalogue.Model(model)
	if !ok {
		spec = ModelSpec{Name: model}
	}
	decided, from := pl.placement.Ledger.Decided(model)
	rights := len(pl.placement.Ledger.Rights(model))
	if decided != spec.Max && offset > from && (rights >= spec.Min || rights > 0) {
		if _, err := pl.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Decide{Decide: &drpb.PlacementDecide{
			Model: model, Max: uint32(spec.Max), ConfigOffset: offset,
		}}}); err != nil {
			return err
		}
	}
	for len(pl.placement.Ledger.Rights(model)) < min(spec.Min, spec.Max) {
		if err := pl.grant(ctx, spec, offset, ""); err != nil {
			return err
		}
	}
	return nil
}

// lockModel waits until no other goroutine plans the model and returns a
// function that lets the next one continue.
func (pl *Planner) lockModel(ctx context.Context, model string) (unlock func(), err error) {
	pl.mu.Lock()
	c := pl.modelLocks[model]
	if c == nil {
		c = make(chan struct{}, 1)
		pl.modelLocks[model] = c
	}
	pl.mu.Unlock()
	select {
	case c <- struct{}{}:
		return func() { <-c }, nil
	case <-ctx.Done():
		return nil, drerror.Wrap(drerror.NotRun, drerror.Deadline, ctx.Err(), "wait until the model is not being planned")
	}
}

// grant appends a grant for the best runner other than exclude, and checks that
// the fold accepted it.
func (pl *Planner) grant(ctx context.Context, spec ModelSpec, offset uint64, exclude string) error {
	b, ok := pl.selector.choose(ctx, spec, exclude, false)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.NoCapacity, "fleet %q has no runner for another replica of model %q", spec.Fleet, spec.Name)
	}
	at, err := pl.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Grant{Grant: &drpb.PlacementGrant{
		Model: spec.Name, Runner: b.VM, Max: uint32(spec.Max), ConfigOffset: offset,
	}}})
	if err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "append grant record to the placement stream")
	}
	if pl.placement.Ledger.RightsOn(b.VM)[spec.Name].Grant != at {
		return drerror.New(drerror.NotRun, drerror.Conflict, "grant of model %q on runner %q was superseded", spec.Name, b.VM)
	}
	pl.placement.recordNamedEvent(drtimeline.RightGranted, b.VM, modelKey{model: spec.Name}, "")
	return nil
}

func (pl *Planner) handleDemand(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var d drpb.PlacementDemand
	if err := proto.Unmarshal(body, &d); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode demand call")
	}
	return &drpb.PlacementDemandReply{}, pl.demand(ctx, &d)
}

// demand grants one more right or, if the maximum is reached, moves a right
// away from a contended runner. It does nothing if there are already more
// usable rights than the caller knew of.
func (pl *Planner) demand(ctx context.Context, request *drpb.PlacementDemand) error {
	if pl.placement.logDown() {
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "the log is down, so model %q cannot be granted another replica", request.Model)
	}
	unlock, err := pl.lockModel(ctx, request.Model)
	if err != nil {
		return err
	}
	defer unlock()
	if len(pl.placement.usableRights(request.Model)) > int(request.Have) {
		return nil
	}
	offset := pl.placement.Catalogue.Offset()
	spec, ok := pl.placement.Catalogue.Model(request.Model)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q is not declared", request.Model)
	}
	if len(pl.placement.Ledger.Rights(request.Model)) < spec.Max {
		err = pl.grant(ctx, spec, offset, request.Contended)
	} else {
		err = pl.moveRight(ctx, spec, offset, request.Contended)
	}
	if err == nil && request.Have > 0 {
		pl.placement.wakeNewest(ctx, request.Model)
	}
	return err
}

// moveRight makes the owner of a contended runner release the right to a model,
// waits until that is folded, and grants a right on a runner that has free
// memory without evictions.
func (pl *Planner) moveRight(ctx context.Context, spec ModelSpec, offset uint64, from string) error {
	full := drerror.New(drerror.NotRun, drerror.NoCapacity, "model %q already has its maximum of %d replicas", spec.Name, spec.Max).WithRetryAfter(recentUseWindow)
	if from == "" {
		return full
	}
	if _, ok := pl.selector.choose(ctx, spec, from, true); !ok {
		return full
	}
	if err := pl.placement.callYield(ctx, &drpb.PlacementYield{Runner: from, Model: spec.Name}); err != nil {
		return err
	}
	ctx, cancel := pl.placement.timeout(ctx, 2*appendTimeout)
	defer cancel()
	for {
		changed := pl.placement.Ledger.Changed()
		if pl.placement.Ledger.RightsOn(from)[spec.Name].Grant == 0 {
			return pl.grant(ctx, spec, offset, from)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return full
		}
	}
}
