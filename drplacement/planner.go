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

// planPause bounds how often all models are reviewed, because each record of
// the placement stream triggers a review.
const planPause = 200 * time.Millisecond

// Planner grants rights for the models of which this VM is home. Several
// planners of one model are harmless: the fold accepts no more grants than
// decided.
type Planner struct {
	placement     *Placement
	planRequested chan struct{}
	selector      *runnerSelector

	mu             sync.Mutex
	modelLocks     map[string]chan struct{} // one planning at a time for each model
	homeByModel    map[string]string
	homeCandidates []drmember.Member // candidates that homes was computed from
}

func newPlanner(placement *Placement) *Planner {
	return &Planner{
		placement: placement, planRequested: make(chan struct{}, 1), selector: newRunnerSelector(placement),
		modelLocks: make(map[string]chan struct{}), homeByModel: make(map[string]string),
	}
}

func (l *Planner) requestPlan() { notify(l.planRequested) }

func (l *Planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.placement.logDown() {
			l.planAll(ctx)
		}
		if l.placement.Clock.Sleep(ctx, planPause) != nil {
			return
		}
		t := l.placement.Clock.NewTimer(tick - planPause)
		select {
		case <-l.planRequested:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// homeVM returns the VM that plans a model.
func (l *Planner) homeVM(model string) string {
	return l.homeVMAmongCandidates(model, l.placement.View.Candidates())
}

func (l *Planner) homeVMAmongCandidates(model string, candidates []drmember.Member) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sameVMs(candidates, l.homeCandidates) {
		clear(l.homeByModel)
		l.homeCandidates = candidates
	}
	h, ok := l.homeByModel[model]
	if !ok {
		if r := drmember.Rank("model/"+model, candidates); len(r) > 0 {
			h = r[0].VM
		}
		l.homeByModel[model] = h
	}
	return h
}

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

func (l *Planner) planAll(ctx context.Context) {
	models := drcollection.Of(l.placement.Catalogue.Models()...)
	for _, m := range l.placement.Ledger.Models() {
		models.Add(m) // no longer selected: the decided number becomes 0
	}
	self, candidates := l.placement.View.Self().VM, l.placement.View.Candidates()
	for _, m := range drcollection.Sorted(models) {
		if l.homeVMAmongCandidates(m, candidates) == self && ctx.Err() == nil {
			// Failures are repeated at the next review.
			_ = l.planModel(ctx, m)
		}
	}
}

// planModel appends the decided number if it changed, and grants the minimum.
func (l *Planner) planModel(ctx context.Context, model string) error {
	unlock, err := l.lockModel(ctx, model)
	if err != nil {
		return err
	}
	defer unlock()
	// The offset is read before the number: a number that is newer than its
	// offset is corrected by the next configuration, the reverse would not be.
	offset := l.placement.Catalogue.Offset()
	spec, ok := l.placement.Catalogue.Model(model)
	if !ok {
		spec = ModelSpec{Name: model}
	}
	decided, from := l.placement.Ledger.Decided(model)
	rights := len(l.placement.Ledger.Rights(model))
	if decided != spec.Max && offset > from && (rights >= spec.Min || rights > 0) {
		if _, err := l.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Decide{Decide: &drpb.PlacementDecide{
			Model: model, Max: uint32(spec.Max), ConfigOffset: offset,
		}}}); err != nil {
			return err
		}
	}
	for len(l.placement.Ledger.Rights(model)) < min(spec.Min, spec.Max) {
		if err := l.grant(ctx, spec, offset, ""); err != nil {
			return err
		}
	}
	return nil
}

// lockModel lets one goroutine plan a model at a time.
func (l *Planner) lockModel(ctx context.Context, model string) (unlock func(), err error) {
	l.mu.Lock()
	c := l.modelLocks[model]
	if c == nil {
		c = make(chan struct{}, 1)
		l.modelLocks[model] = c
	}
	l.mu.Unlock()
	select {
	case c <- struct{}{}:
		return func() { <-c }, nil
	case <-ctx.Done():
		return nil, drerror.Wrap(drerror.NotRun, drerror.Deadline, ctx.Err(), "wait for planner")
	}
}

// grant appends a grant for the best runner and checks that it was accepted.
func (l *Planner) grant(ctx context.Context, spec ModelSpec, offset uint64, exclude string) error {
	b, ok := l.selector.choose(ctx, spec, exclude, false)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.NoCapacity, "fleet %q has no runner for another replica of model %q", spec.Fleet, spec.Name)
	}
	at, err := l.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Grant{Grant: &drpb.PlacementGrant{
		Model: spec.Name, Runner: b.VM, Max: uint32(spec.Max), ConfigOffset: offset,
	}}})
	if err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "append grant")
	}
	if l.placement.Ledger.RightsOn(b.VM)[spec.Name].Grant != at {
		return drerror.New(drerror.NotRun, drerror.Conflict, "grant of model %q on runner %q was superseded", spec.Name, b.VM)
	}
	l.placement.recordNamedEvent(drtimeline.RightGranted, b.VM, modelKey{model: spec.Name}, "")
	return nil
}

func (l *Planner) handleDemand(ctx context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var d drpb.PlacementDemand
	if err := proto.Unmarshal(body, &d); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "decode demand call")
	}
	return &drpb.PlacementDemandReply{}, l.demand(ctx, &d)
}

// demand grants one more right, or moves one away from a contended runner,
// unless that has happened since the caller looked.
func (l *Planner) demand(ctx context.Context, request *drpb.PlacementDemand) error {
	if l.placement.logDown() {
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "the log is down, so model %q cannot be granted another replica", request.Model)
	}
	unlock, err := l.lockModel(ctx, request.Model)
	if err != nil {
		return err
	}
	defer unlock()
	if len(l.placement.usableRights(request.Model)) > int(request.Have) {
		return nil
	}
	offset := l.placement.Catalogue.Offset()
	spec, ok := l.placement.Catalogue.Model(request.Model)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q is not declared", request.Model)
	}
	if len(l.placement.Ledger.Rights(request.Model)) < spec.Max {
		err = l.grant(ctx, spec, offset, request.Contended)
	} else {
		err = l.moveRight(ctx, spec, offset, request.Contended)
	}
	if err == nil && request.Have > 0 {
		l.placement.wakeNewest(ctx, request.Model)
	}
	return err
}

// moveRight releases the right on a contended runner and grants it on a runner that
// has room without evictions.
func (l *Planner) moveRight(ctx context.Context, spec ModelSpec, offset uint64, from string) error {
	full := drerror.New(drerror.NotRun, drerror.NoCapacity, "model %q has all %d replicas that are decided", spec.Name, spec.Max).WithRetryAfter(recentUseWindow)
	if from == "" {
		return full
	}
	if _, ok := l.selector.choose(ctx, spec, from, true); !ok {
		return full
	}
	if err := l.placement.callYield(ctx, &drpb.PlacementYield{Runner: from, Model: spec.Name}); err != nil {
		return err
	}
	ctx, cancel := l.placement.timeout(ctx, 2*appendTimeout)
	defer cancel()
	for {
		changed := l.placement.Ledger.Changed()
		if l.placement.Ledger.RightsOn(from)[spec.Name].Grant == 0 {
			return l.grant(ctx, spec, offset, from)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return full
		}
	}
}
