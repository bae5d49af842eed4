package drplacement

import (
	"cmp"
	"context"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Placement is the placement of one entry VM: owner, planner, slots and waker.
type Placement struct {
	Config
	owner     *Owner
	planner   *Planner
	slots     *Slots
	residency *Residency
	waker     *Waker
}

// New returns a Place. It subscribes to the ledger, so it must be called before
// the first record is applied.
func New(config Config) *Placement {
	p := &Placement{Config: config}
	p.slots = newSlots(p)
	p.owner = newOwner(p)
	p.planner = newPlanner(p)
	p.residency = newResidency(p)
	p.waker = newWaker(p)
	config.Ledger.Watch(func(ch Change) {
		p.owner.ledgerChanged(ch)
		if ch.Model != "" || ch.Runner == "" {
			p.planner.requestPlan()
		}
	})
	return p
}

// Register registers the handlers of placement calls.
func (p *Placement) Register(registry drpeer.Registry) {
	registry.Handle(methodWake, p.owner.handleWake)
	registry.Handle(methodYield, p.owner.handleYield)
	registry.Handle(methodResidency, p.owner.handleResidency)
	registry.Handle(methodDemand, p.planner.handleDemand)
	registry.Handle(methodSlot, p.slots.handle)
}

// Run runs until ctx ends and all goroutines have ended. Runners are not given
// up; see Drain.
func (p *Placement) Run(ctx context.Context) {
	var g sync.WaitGroup
	if p.Policy == Rights {
		spawn(ctx, &g, "owner", p.owner.run)
		spawn(ctx, &g, "planner", p.planner.run)
		spawn(ctx, &g, "slots", p.slots.run)
	}
	spawn(ctx, &g, "residency", p.residency.run)
	g.Wait()
	p.waker.stop()
	p.slots.goroutines.Wait()
}

// spawn runs f on a goroutine of its own, which a processor profile shows under
// the role.
func spawn(ctx context.Context, group *sync.WaitGroup, role string, run func(context.Context)) {
	group.Go(func() { pprof.Do(ctx, pprof.Labels("role", role), run) })
}

// Drain gives up the runners that this VM owns and takes over no more. It
// returns when all are given up or ctx ends.
func (p *Placement) Drain(ctx context.Context) { p.owner.drain(ctx) }

// Waker returns the part that entry VMs use to have models loaded.
func (p *Placement) Waker() *Waker { return p.waker }

// Residency returns the local view of what is loaded where.
func (p *Placement) Residency() *Residency { return p.residency }

// Methods of calls between entry VMs.
const (
	methodWake      = "Wake"
	methodYield     = "Yield"
	methodResidency = "Residency"
	methodDemand    = "Demand"
	methodSlot      = "Slot"
)

// logDown reports whether the log has not been confirmed recently.
func (p *Placement) logDown() bool {
	return p.Clock.Since(p.Journal.Confirmed()) > logDownAfter
}

// append appends a record and waits until it is folded. The caller reads the
// ledger to learn whether the record was accepted.
func (p *Placement) append(ctx context.Context, record *drpb.PlacementRecord) (uint64, error) {
	b, err := proto.Marshal(record)
	if err != nil {
		return 0, drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encode placement record")
	}
	ctx, cancel := p.timeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.Journal.Append(ctx, b)
	if err != nil {
		return 0, err
	}
	return offset, p.Journal.WaitFor(ctx, offset)
}

func (p *Placement) timeout(ctx context.Context, duration time.Duration) (context.Context, context.CancelFunc) {
	return drclock.WithTimeout(ctx, p.Clock, duration)
}

// backend returns the listed backend server that is the given runner.
func (p *Placement) backend(runner string) (drmember.Backend, bool) {
	for _, f := range p.Catalogue.EngineFleets() {
		bs := p.View.Backends(f)
		if i, ok := slices.BinarySearchFunc(bs, runner, func(b drmember.Backend, vm string) int {
			return cmp.Compare(b.VM, vm)
		}); ok {
			return bs[i], true
		}
	}
	return drmember.Backend{}, false
}

func (p *Placement) recordNamedEvent(name, runner string, key modelKey, detail string) {
	p.recordEvent(drtimeline.Event{Name: name, Detail: detail}, runner, key)
}

// recordEvent records e with the runner and what it concerns there.
func (p *Placement) recordEvent(event drtimeline.Event, runner string, key modelKey) {
	event.Backend, event.Model = runner, key.model
	if key.adapter != "" {
		event.Detail = strings.TrimSpace(event.Detail + " adapter=" + key.adapter)
	}
	p.Recorder.Record(event)
}
