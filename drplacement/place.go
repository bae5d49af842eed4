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

// Place is the placement of one entry VM: owner, planner, slots and waker.
type Place struct {
	Config
	owner     *Owner
	planner   *Planner
	slots     *Slots
	residency *Residency
	waker     *Waker
}

// New returns a Place. It subscribes to the ledger, so it must be called before
// the first record is applied.
func New(c Config) *Place {
	p := &Place{Config: c}
	p.slots = newSlots(p)
	p.owner = newOwner(p)
	p.planner = newPlanner(p)
	p.residency = newResidency(p)
	p.waker = newWaker(p)
	c.Ledger.Watch(func(ch Change) {
		p.owner.ledgerChanged(ch)
		if ch.Model != "" || ch.Runner == "" {
			p.planner.poke()
		}
	})
	return p
}

// Register registers the handlers of placement calls.
func (p *Place) Register(r drpeer.Registry) {
	r.Handle(methodWake, p.owner.handleWake)
	r.Handle(methodYield, p.owner.handleYield)
	r.Handle(methodResidency, p.owner.handleResidency)
	r.Handle(methodDemand, p.planner.handleDemand)
	r.Handle(methodSlot, p.slots.handle)
}

// Run runs until ctx ends and all goroutines have ended. Runners are not given
// up; see Drain.
func (p *Place) Run(ctx context.Context) {
	var g sync.WaitGroup
	if p.Policy == Rights {
		spawn(ctx, &g, "owner", p.owner.run)
		spawn(ctx, &g, "planner", p.planner.run)
		spawn(ctx, &g, "slots", p.slots.run)
	}
	spawn(ctx, &g, "residency", p.residency.run)
	g.Wait()
	p.waker.stop()
	p.slots.work.Wait()
}

// spawn runs f on a goroutine of its own, which a processor profile shows under
// the role.
func spawn(ctx context.Context, g *sync.WaitGroup, role string, f func(context.Context)) {
	g.Go(func() { pprof.Do(ctx, pprof.Labels("role", role), f) })
}

// Drain gives up the runners that this VM owns and takes over no more. It
// returns when all are given up or ctx ends.
func (p *Place) Drain(ctx context.Context) { p.owner.drain(ctx) }

// Waker returns the part that entry VMs use to have models loaded.
func (p *Place) Waker() *Waker { return p.waker }

// Residency returns the local view of what is loaded where.
func (p *Place) Residency() *Residency { return p.residency }

// Methods of calls between entry VMs.
const (
	methodWake      = "Wake"
	methodYield     = "Yield"
	methodResidency = "Residency"
	methodDemand    = "Demand"
	methodSlot      = "Slot"
)

// logDown reports whether the log has not been confirmed recently.
func (p *Place) logDown() bool {
	return p.Clock.Since(p.Journal.Confirmed()) > logDownAfter
}

// append appends a record and waits until it is folded. The caller reads the
// ledger to learn whether the record was accepted.
func (p *Place) append(ctx context.Context, r *drpb.PlacementRecord) (uint64, error) {
	b, err := proto.Marshal(r)
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

func (p *Place) timeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return drclock.WithTimeout(ctx, p.Clock, d)
}

// backend returns the listed backend server that is the given runner.
func (p *Place) backend(runner string) (drmember.Backend, bool) {
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

func (p *Place) record(name, runner string, k key, detail string) {
	p.note(drtimeline.Event{Name: name, Detail: detail}, runner, k)
}

// note records e with the runner and what it concerns there.
func (p *Place) note(e drtimeline.Event, runner string, k key) {
	e.Backend, e.Model = runner, k.model
	if k.adapter != "" {
		e.Detail = strings.TrimSpace(e.Detail + " adapter=" + k.adapter)
	}
	p.Recorder.Record(e)
}
