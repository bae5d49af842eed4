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

// Placement runs all parts of model placement on one entry VM. Its exported
// methods are safe for concurrent use, but Run must be called only once.
type Placement struct {
	Config
	owner     *Owner
	planner   *Planner
	slots     *Slots
	residency *Residency
	waker     *Waker
}

// New returns a Placement and subscribes it to the ledger. It must be called
// before the first record is applied.
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

// Register registers the handlers of the calls between entry VMs. Peers can
// call them from then on.
func (p *Placement) Register(registry drpeer.Registry) {
	registry.Handle(methodWake, p.owner.handleWake)
	registry.Handle(methodYield, p.owner.handleYield)
	registry.Handle(methodResidency, p.owner.handleResidency)
	registry.Handle(methodDemand, p.planner.handleDemand)
	registry.Handle(methodSlot, p.slots.handle)
}

// Run runs placement until ctx ends, and returns when all its goroutines have
// ended. It does not hand over the runners of this VM; call Drain before for
// that.
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

// spawn runs a function on a goroutine of its own. CPU profiles show the
// goroutine under the label role.
func spawn(ctx context.Context, group *sync.WaitGroup, role string, run func(context.Context)) {
	group.Go(func() { pprof.Do(ctx, pprof.Labels("role", role), run) })
}

// Drain hands over the runners that this VM owns and claims no more. It returns
// when all are handed over or ctx ends. Run must still be running.
func (p *Placement) Drain(ctx context.Context) { p.owner.drain(ctx) }

// Waker returns the part that has models loaded on behalf of requests.
func (p *Placement) Waker() *Waker { return p.waker }

// Residency returns the view of this VM on which models are loaded on which
// runners.
func (p *Placement) Residency() *Residency { return p.residency }

// Methods of the calls between entry VMs.
const (
	methodWake      = "Wake"
	methodYield     = "Yield"
	methodResidency = "Residency"
	methodDemand    = "Demand"
	methodSlot      = "Slot"
)

// logDown reports whether the last confirmed read of the log is older than
// logDownAfter.
func (p *Placement) logDown() bool {
	return p.Clock.Since(p.Journal.Confirmed()) > logDownAfter
}

// append appends a record and waits until it is folded. Success does not mean
// that the fold accepted the record; the caller must check the ledger for that.
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

// backend returns the backend server with the given VM name, if an engine fleet
// lists it.
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

// recordNamedEvent records an event that has only a name and a detail.
func (p *Placement) recordNamedEvent(name, runner string, key modelKey, detail string) {
	p.recordEvent(drtimeline.Event{Name: name, Detail: detail}, runner, key)
}

// recordEvent records an event and adds the runner, the model and the adapter
// that it concerns.
func (p *Placement) recordEvent(event drtimeline.Event, runner string, key modelKey) {
	event.Backend, event.Model = runner, key.model
	if key.adapter != "" {
		event.Detail = strings.TrimSpace(event.Detail + " adapter=" + key.adapter)
	}
	p.Recorder.Record(event)
}
