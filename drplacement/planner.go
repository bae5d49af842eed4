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
	p      *Place
	pokes  chan struct{}
	survey *survey

	mu     sync.Mutex
	locks  map[string]chan struct{} // one planning at a time for each model
	homes  map[string]string
	homeOf []drmember.Member // candidates that homes was computed from
}

func newPlanner(p *Place) *Planner {
	return &Planner{
		p: p, pokes: make(chan struct{}, 1), survey: newSurvey(p),
		locks: make(map[string]chan struct{}), homes: make(map[string]string),
	}
}

func (l *Planner) poke() { poke(l.pokes) }

func (l *Planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.p.logDown() {
			l.plan(ctx)
		}
		if l.p.Clock.Sleep(ctx, planPause) != nil {
			return
		}
		t := l.p.Clock.NewTimer(tick - planPause)
		select {
		case <-l.pokes:
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// home returns the VM that plans a model.
func (l *Planner) home(model string) string {
	return l.homeAmong(model, l.p.View.Candidates())
}

func (l *Planner) homeAmong(model string, cs []drmember.Member) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sameVMs(cs, l.homeOf) {
		clear(l.homes)
		l.homeOf = cs
	}
	h, ok := l.homes[model]
	if !ok {
		if r := drmember.Rank("model/"+model, cs); len(r) > 0 {
			h = r[0].VM
		}
		l.homes[model] = h
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

func (l *Planner) plan(ctx context.Context) {
	models := drcollection.Of(l.p.Catalogue.Models()...)
	for _, m := range l.p.Ledger.Models() {
		models.Add(m) // no longer selected: the decided number becomes 0
	}
	self, cs := l.p.View.Self().VM, l.p.View.Candidates()
	for _, m := range drcollection.Sorted(models) {
		if l.homeAmong(m, cs) == self && ctx.Err() == nil {
			// Failures are repeated at the next review.
			_ = l.planModel(ctx, m)
		}
	}
}

// planModel appends the decided number if it changed, and grants the minimum.
func (l *Planner) planModel(ctx context.Context, model string) error {
	unlock, err := l.lock(ctx, model)
	if err != nil {
		return err
	}
	defer unlock()
	// The offset is read before the number: a number that is newer than its
	// offset is corrected by the next configuration, the reverse would not be.
	offset := l.p.Catalogue.Offset()
	spec, ok := l.p.Catalogue.Model(model)
	if !ok {
		spec = ModelSpec{Name: model}
	}
	decided, from := l.p.Ledger.Decided(model)
	rights := len(l.p.Ledger.Rights(model))
	if decided != spec.Max && offset > from && (rights >= spec.Min || rights > 0) {
		if _, err := l.p.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Decide{Decide: &drpb.PlacementDecide{
			Model: model, Max: uint32(spec.Max), ConfigOffset: offset,
		}}}); err != nil {
			return err
		}
	}
	for len(l.p.Ledger.Rights(model)) < min(spec.Min, spec.Max) {
		if err := l.grant(ctx, spec, offset, ""); err != nil {
			return err
		}
	}
	return nil
}

// lock lets one goroutine plan a model at a time.
func (l *Planner) lock(ctx context.Context, model string) (unlock func(), err error) {
	l.mu.Lock()
	c := l.locks[model]
	if c == nil {
		c = make(chan struct{}, 1)
		l.locks[model] = c
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
func (l *Planner) grant(ctx context.Context, m ModelSpec, offset uint64, exclude string) error {
	b, ok := l.survey.choose(ctx, m, exclude, false)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.NoCapacity, "fleet %q has no runner for another replica of model %q", m.Fleet, m.Name)
	}
	at, err := l.p.append(ctx, &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Grant{Grant: &drpb.PlacementGrant{
		Model: m.Name, Runner: b.VM, Max: uint32(m.Max), ConfigOffset: offset,
	}}})
	if err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "append grant")
	}
	if l.p.Ledger.RightsOn(b.VM)[m.Name].Grant != at {
		return drerror.New(drerror.NotRun, drerror.Conflict, "grant of model %q on runner %q was superseded", m.Name, b.VM)
	}
	l.p.record(drtimeline.RightGranted, b.VM, key{model: m.Name}, "")
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
func (l *Planner) demand(ctx context.Context, d *drpb.PlacementDemand) error {
	if l.p.logDown() {
		return drerror.New(drerror.NotRun, drerror.LogUnavailable, "the log is down, model %q gets no further right", d.Model)
	}
	unlock, err := l.lock(ctx, d.Model)
	if err != nil {
		return err
	}
	defer unlock()
	if len(l.p.usable(d.Model)) > int(d.Have) {
		return nil
	}
	offset := l.p.Catalogue.Offset()
	m, ok := l.p.Catalogue.Model(d.Model)
	if !ok {
		return drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q is not declared", d.Model)
	}
	if len(l.p.Ledger.Rights(d.Model)) < m.Max {
		err = l.grant(ctx, m, offset, d.Contended)
	} else {
		err = l.move(ctx, m, offset, d.Contended)
	}
	if err == nil && d.Have > 0 {
		l.p.wakeNewest(ctx, d.Model)
	}
	return err
}

// move releases the right on a contended runner and grants it on a runner that
// has room without evictions.
func (l *Planner) move(ctx context.Context, m ModelSpec, offset uint64, from string) error {
	full := drerror.New(drerror.NotRun, drerror.NoCapacity, "model %q has all %d replicas that are decided", m.Name, m.Max).WithRetryAfter(inUse)
	if from == "" {
		return full
	}
	if _, ok := l.survey.choose(ctx, m, from, true); !ok {
		return full
	}
	if err := l.p.callYield(ctx, &drpb.PlacementYield{Runner: from, Model: m.Name}); err != nil {
		return err
	}
	ctx, cancel := l.p.timeout(ctx, 2*appendTimeout)
	defer cancel()
	for {
		changed := l.p.Ledger.Changed()
		if l.p.Ledger.RightsOn(from)[m.Name].Grant == 0 {
			return l.grant(ctx, m, offset, from)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return full
		}
	}
}
