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

// homeVM returns the VM that plans a model, or an empty string if there is no
// candidate.
func (l *Planner) homeVM(model string) string {
	return l.homeVMAmongCandidates(model, l.placement.View.Candidates())
}

// homeVMAmongCandidates returns the candidate that ranks first for a model. It
// caches the result until the candidates change.
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
func (l *Planner) planAll(ctx context.Context) {
	models := drcollection.Of(l.placement.Catalogue.Models()...)
	for _, m := range l.placement.Ledger.Models() {
		models.Add(m) // no longer in the configuration: the decided number becomes 0
	}
	self, candidates := l.placement.View.Self().VM, l.placement.View.Candidates()
	for _, m := range drcollection.Sorted(models) {
		if l.homeVMAmongCandidates(m, candidates) == self && ctx.Err() == nil {
			// A failed model is planned again in the next pass.
			_ = l.planModel(ctx, m)
		}
	}
}

// planModel appends the decided number of replicas if it has changed, and
// grants rights up to the minimum.
func (l *Planner) planModel(ctx context.Context, model string) error {
	unlock, err := l.lockModel(ctx, model)
	if err != nil {
		return err
	}
	defer unlock()
	// The offset is read before the model. If the configuration changes in
	// between, the number is newer than its offset, and the next configuration
	// corrects that. A number older than its offset would not be corrected.
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

// lockModel waits until no other goroutine plans the model and returns a
// function that lets the next one continue.
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
		return nil, drerror.Wrap(drerror.NotRun, drerror.Deadline, ctx.Err(), "wait until the model is not being planned")
	}
}

// grant appends a grant for the best runner other than exclude, and checks that
// the fold accepted it.
func (l *Planner) grant(ctx context.Context, spec ModelSpec, offset uint64, exclude string) error {
	b, ok := l.selector.choose(ctx, spec, exclude, false)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.NoCapacity, "fleet %q has no runner for another replica of model %q", spec.Fleet, spec.Name)
	}
	at, err := l.placement.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Grant{Grant: &drpb.PlacementGrant{
		Model: spec.Name, Runner: b.VM, Max: uint32(spec.Max), ConfigOffset: offset,
	}}})
	if err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "append grant record to the placement stream")
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

// demand grants one more right or, if the maximum is reached, moves a right
// away from a contended runner. It does nothing if there are already more
// usable rights than the caller knew of.
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

// moveRight makes the owner of a contended runner release the right to a model,
// waits until that is folded, and grants a right on a runner that has free
// memory without evictions.
func (l *Planner) moveRight(ctx context.Context, spec ModelSpec, offset uint64, from string) error {
	full := drerror.New(drerror.NotRun, drerror.NoCapacity, "model %q already has its maximum of %d replicas", spec.Name, spec.Max).WithRetryAfter(recentUseWindow)
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
