package drserve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	methodTimeline = "Timeline"
	methodInForce  = "InForce"
)

// adminBackend implements dradmin.Backend, through which operators inspect and
// change this VM.
type adminBackend struct{ vm *VM }

// Ready implements dradmin.Backend. A VM is ready when it has started, has caught up
// with every stream of the log once, has read the list of VMs, which names the backend
// servers, is not draining and is not isolated.
func (b adminBackend) Ready() (bool, string) {
	v := b.vm
	switch {
	case !v.started.Load():
		return false, "starting"
	case v.draining.Load():
		return false, "draining"
	}
	for _, f := range v.followers {
		select {
		case <-f.Ready():
		default:
			return false, "stream " + f.Stream() + " has not been read to its end yet"
		}
	}
	if !v.members.ListRead() {
		return false, "the VM list has not been read yet"
	}
	if v.freshness.State() == drlog.Isolated {
		return false, "isolated"
	}
	return true, ""
}

// WriteMetrics implements dradmin.Backend.
func (b adminBackend) WriteMetrics(w io.Writer) error { return b.vm.metrics.Write(w) }

// Objects implements dradmin.Backend. It returns all objects of the configuration
// that this VM uses.
func (b adminBackend) Objects() (dradmin.Objects, error) {
	c := b.vm.config.Current()
	out := dradmin.Objects{Offset: b.vm.config.Offset()}
	for _, x := range c.Objects() {
		r := x.Ref()
		out.Objects = append(out.Objects, dradmin.ObjectDocument{
			ObjectName: dradmin.ObjectName{Kind: string(r.Kind), Name: r.Name}, Object: drconfig.EncodeObject(x),
		})
	}
	return out, nil
}

// Submit implements dradmin.Backend. If the append of a change may have succeeded,
// Submit waits until the change is applied or ctx ends. Sending the change again
// with the same id is harmless.
func (b adminBackend) Submit(ctx context.Context, adminChange dradmin.Change) (dradmin.ChangeResult, error) {
	v := b.vm
	change, problems := decodeChange(adminChange)
	if len(problems) == 0 {
		if _, ok := v.config.Result(adminChange.ID); !ok {
			_, changeProblems := change.ApplyTo(v.config.Current())
			for _, p := range changeProblems {
				problems = append(problems, p.String())
			}
		}
	}
	if len(problems) > 0 {
		b.recordChange(adminChange, false)
		return dradmin.ChangeResult{Problems: problems}, nil
	}
	_, err := v.configLog.Append(ctx, change.Encode())
	if err != nil && drerror.VerdictOf(err) == drerror.NotRun {
		return dradmin.ChangeResult{}, err
	}
	for {
		if r, ok := v.config.Result(adminChange.ID); ok {
			b.recordChange(adminChange, r.Accepted)
			return dradmin.ChangeResult{Offset: r.Offset, Accepted: r.Accepted, Problems: r.Problems}, nil
		}
		if sleepErr := v.Clock.Sleep(ctx, submitPollPeriod); sleepErr != nil {
			return dradmin.ChangeResult{}, drerror.New(drerror.MayHaveRun, drerror.LogUnavailable,
				"the result of change %q is unknown; send it again with the same id", adminChange.ID)
		}
	}
}

// recordChange records whether an operator's change was accepted.
func (b adminBackend) recordChange(adminChange dradmin.Change, accepted bool) {
	name := drtimeline.ConfigRejected
	if accepted {
		name = drtimeline.ConfigChanged
	}
	b.vm.events.Record(drtimeline.Event{Name: name, Detail: fmt.Sprintf("change=%q author=%q", adminChange.ID, adminChange.Author)})
}

// decodeChange converts a change of the admin API. It returns the problems of all
// objects and does not stop at the first.
func decodeChange(adminChange dradmin.Change) (drconfig.Change, []string) {
	change := drconfig.Change{ID: adminChange.ID, BasedOn: adminChange.BasedOn, Author: adminChange.Author}
	var problems []string
	for _, p := range adminChange.Puts {
		object, objectProblems := drconfig.DecodeObject(drconfig.Ref{Kind: drconfig.Kind(p.Kind), Name: p.Name}, p.Object)
		for _, x := range objectProblems {
			problems = append(problems, x.String())
		}
		if len(objectProblems) == 0 {
			change.Puts = append(change.Puts, object)
		}
	}
	for _, d := range adminChange.Deletes {
		change.Deletes = append(change.Deletes, drconfig.Ref{Kind: drconfig.Kind(d.Kind), Name: d.Name})
	}
	return change, problems
}

// InForce implements dradmin.Backend. It returns the configuration offset of each
// reachable entry VM, or the error of the query to it.
func (b adminBackend) InForce(ctx context.Context) dradmin.InForce {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answers := b.vm.queryAll(func(vm string) (dradmin.VMOffset, error) {
		var reply drpb.OperateInForceReply
		err := b.vm.peerNode.Call(ctx, vm, methodInForce, &drpb.OperateInForceRequest{}, &reply)
		return dradmin.VMOffset{VM: vm, Offset: reply.Offset}, err
	}, func(vm string, err error) dradmin.VMOffset { return dradmin.VMOffset{VM: vm, Error: err.Error()} })
	return dradmin.InForce{VMs: answers}
}

// queryAll calls ask for all reachable entry VMs in parallel and returns the answers
// sorted by VM. Failed converts an error to an answer.
func (v *VM) queryAll(ask func(vm string) (dradmin.VMOffset, error), failed func(string, error) dradmin.VMOffset) []dradmin.VMOffset {
	var mu sync.Mutex
	var answers []dradmin.VMOffset
	v.forEachReachable(func(vm string) {
		a, err := ask(vm)
		if err != nil {
			a = failed(vm, err)
		}
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	})
	slices.SortFunc(answers, func(x, y dradmin.VMOffset) int { return strings.Compare(x.VM, y.VM) })
	return answers
}

// forEachReachable calls visit in parallel for every entry VM that is not unreachable,
// this one included, and waits for all calls to return.
func (v *VM) forEachReachable(visit func(vm string)) {
	var calls sync.WaitGroup
	for _, m := range v.members.Members() {
		if m.State != drmember.Unreachable {
			calls.Go(func() { visit(m.VM) })
		}
	}
	calls.Wait()
}

// Timeline implements dradmin.Backend. It returns the selected events of all
// reachable entry VMs, and the VMs that did not answer. For a request id, it adds
// the events of the request's model during the request that have no request id,
// such as a load, which serves all requests that wait for it.
func (b adminBackend) Timeline(ctx context.Context, filter drtimeline.Filter) ([]drtimeline.Event, []string) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	events, missing := b.collectEvents(ctx, filter)
	if filter.RequestID == "" || len(events) == 0 {
		return events, missing
	}
	lists := [][]drtimeline.Event{events}
	first, last := events[0].Stamp.Time(), events[len(events)-1].Stamp.Time()
	models := make(drcollection.Set[string])
	for _, e := range events {
		if e.Model != "" {
			models.Add(e.Model)
		}
	}
	for _, m := range drcollection.Sorted(models) {
		modelEvents, _ := b.collectEvents(ctx, drtimeline.Filter{Model: m, From: first, To: last.Add(time.Millisecond)})
		lists = append(lists, slices.DeleteFunc(modelEvents, func(e drtimeline.Event) bool { return e.RequestID != "" }))
	}
	return drtimeline.Merge(drtimeline.Filter{}, lists...), missing
}

// collectEvents returns the events of all reachable entry VMs that match filter, and
// the VMs that did not answer.
func (b adminBackend) collectEvents(ctx context.Context, filter drtimeline.Filter) ([]drtimeline.Event, []string) {
	request := &drpb.OperateTimelineRequest{
		RequestId: filter.RequestID, Account: filter.Account, Model: filter.Model, FromMs: toMillis(filter.From), ToMs: toMillis(filter.To),
	}
	var mu sync.Mutex
	var lists [][]drtimeline.Event
	var missing []string
	b.vm.forEachReachable(func(vm string) {
		var reply drpb.OperateTimelineReply
		err := b.vm.peerNode.Call(ctx, vm, methodTimeline, request, &reply)
		var events []drtimeline.Event
		if err == nil {
			err = json.Unmarshal(reply.Events, &events)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, vm)
			return
		}
		lists = append(lists, events)
	})
	slices.Sort(missing)
	return drtimeline.Merge(filter, lists...), missing
}

// toMillis returns t in milliseconds since the Unix epoch, and 0 for the zero time.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromMillis is the inverse of toMillis.
func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// registerAdminHandlers registers the handlers for the queries that the admin
// servers of other VMs send, see InForce and Timeline.
func (v *VM) registerAdminHandlers(registry drpeer.Registry) {
	registry.Handle(methodInForce, func(context.Context, drpeer.Sender, []byte) (proto.Message, error) {
		return &drpb.OperateInForceReply{Offset: v.config.Offset()}, nil
	})
	registry.Handle(methodTimeline, func(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
		var request drpb.OperateTimelineRequest
		if err := proto.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		filter := drtimeline.Filter{
			RequestID: request.RequestId, Account: request.Account, Model: request.Model, From: fromMillis(request.FromMs), To: fromMillis(request.ToMs),
		}
		events, err := json.Marshal(drtimeline.Merge(filter, v.eventRing.Events()))
		if err != nil {
			return nil, err
		}
		return &drpb.OperateTimelineReply{Events: events}, nil
	})
}
