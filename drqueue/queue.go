// Package drqueue holds the requests for one model until a backend server can
// take them, and shares the service fairly between client accounts.
package drqueue

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// Weights of the priorities. No class starves: batch work still gets 1
	// part in 21 when all three are backlogged.
	interactiveWeight = 16
	draftWeight       = 4
	batchWeight       = 1

	// creditSpan is the service that an account may catch up on after it used
	// less than its part. Without it, the few requests of a light account are
	// spread between those of a backlogged one.
	creditSpan = 250 * time.Millisecond

	// rateDecay is the time constant of the measured service rate. It covers
	// many requests, since one long request must not look like a stall.
	rateDecay = 10 * time.Second
	// minSamples is the number of finished requests before waits are
	// estimated. Before that no request is refused early.
	minSamples = 20
	// minRetryAfter is the least advice after a full queue.
	minRetryAfter = time.Second
)

// Config configures a Queue.
type Config struct {
	Clock    drclock.Clock
	Recorder drtimeline.Recorder
	Policy   Policy
	// Model names the queue in errors and events.
	Model string
	// MaxCount and MaxBytes bound the waiting requests.
	MaxCount int
	MaxBytes int64
}

// Queue is the queue of one model on one entry VM. It is safe for concurrent
// use. It starts with a window of 0: nothing is granted before SetWindow.
type Queue struct {
	config  Config
	mu      sync.Mutex
	flows   map[flowKey]*flow
	virtual float64
	arrived uint64
	count   int
	bytes   int64
	window  int
	running int
	rate    serviceRate
}

// New returns an empty queue.
func New(c Config) *Queue {
	return &Queue{config: c, flows: make(map[flowKey]*flow)}
}

// Release ends the service of a granted item and says how many tokens it
// was. Only the first call counts.
type Release func(served float64)

// Enqueue waits until the item is granted. Errors are *drerror.Error with
// verdict NotRun: QueueFull if the queue is full and the account has the
// largest backlog in it, Deadline if the item's deadline passes or cannot be
// met, CallerGone if ctx was cancelled, and what RemoveIf says.
func (q *Queue) Enqueue(ctx context.Context, item Item) (Release, error) {
	now := q.config.Clock.Now()
	if item.Priority == "" {
		item.Priority = drconfig.Interactive
	}
	e := &entry{item: item, granted: make(chan error, 1)}
	q.mu.Lock()
	if err := q.admit(e, now); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.grant()
	q.mu.Unlock()

	var expired <-chan time.Time
	if !item.Deadline.IsZero() {
		t := q.config.Clock.NewTimer(item.Deadline.Sub(now))
		defer t.Stop()
		expired = t.C()
	}
	var err error
	select {
	case err = <-e.granted:
	case <-expired:
		err = q.withdraw(e, q.deadline("deadline passed after %v in the queue", item.Deadline.Sub(now)))
	case <-ctx.Done():
		err = q.withdraw(e, contextError(ctx))
	}
	if err != nil {
		q.config.Recorder.Record(drtimeline.Event{
			Name: drtimeline.QueueRefused, RequestID: item.RequestID, Account: item.Account, Model: q.config.Model,
			Reason: drerror.ReasonOf(err).String(), Took: q.config.Clock.Since(now),
		})
		return nil, err
	}
	return q.release(e), nil
}

// contextError returns the refusal of a request whose context ended.
func contextError(ctx context.Context) error {
	err := context.Cause(ctx)
	reason := drerror.ReasonOf(err)
	if reason != drerror.Deadline {
		reason = drerror.CallerGone
	}
	return drerror.Wrap(drerror.NotRun, reason, err, "waiting in the queue")
}

func (q *Queue) deadline(format string, args ...any) error {
	return drerror.New(drerror.NotRun, drerror.Deadline, "model %q: "+format, append([]any{q.config.Model}, args...)...)
}

// withdraw takes e out of the queue and returns err, unless e has been
// granted or refused in the meantime.
func (q *Queue) withdraw(e *entry, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case earlier := <-e.granted:
		return earlier
	default:
	}
	q.remove(e)
	return err
}

// admit adds e to its flow or refuses it.
func (q *Queue) admit(e *entry, now time.Time) error {
	i := e.item
	if !(i.Cost >= 0) || i.Bytes < 0 {
		return drerror.New(drerror.NotRun, drerror.MalformedRequest, "cost %g or size %d is negative", i.Cost, i.Bytes)
	}
	if i.Bytes > q.config.MaxBytes {
		return drerror.New(drerror.NotRun, drerror.TooLarge,
			"request of %d bytes exceeds the %d bytes of the queue of model %q", i.Bytes, q.config.MaxBytes, q.config.Model)
	}
	f := q.flow(i)
	if wait, ok := q.estimate(f); !i.Deadline.IsZero() && (!i.Deadline.After(now) || ok && now.Add(wait).After(i.Deadline)) {
		q.tidy(f)
		return q.deadline("the estimated wait of %v exceeds the deadline", wait)
	}
	if err := q.makeRoom(i); err != nil {
		q.tidy(f)
		return err
	}
	// Making room may have emptied and dropped the flow.
	f = q.flow(i)
	if len(f.entries) == 0 {
		f.next = max(f.next, q.virtual-q.credit())
	}
	q.arrived++
	e.flow, e.sequence = f, q.arrived
	f.entries = append(f.entries, e)
	f.cost += i.Cost
	q.count++
	q.bytes += i.Bytes
	return nil
}

// credit is how far the start tag of a flow that becomes active may lie behind
// the virtual time.
func (q *Queue) credit() float64 {
	rate, _ := q.rate.get()
	return rate * creditSpan.Seconds() / interactiveWeight
}

// makeRoom refuses waiting requests of the account with the largest backlog
// until i fits, or i itself if that is its account.
func (q *Queue) makeRoom(i Item) error {
	for q.count+1 > q.config.MaxCount || q.bytes+i.Bytes > q.config.MaxBytes {
		if q.config.Policy == FirstCome {
			return q.full(i.Account)
		}
		victim, ok := q.largest(i)
		if !ok {
			return q.full(i.Account)
		}
		q.refuse(victim, q.full(victim.item.Account))
	}
	return nil
}

// largest returns the newest, least urgent entry of the account with the
// largest backlog for its weight, false if that account is i's own.
func (q *Queue) largest(i Item) (*entry, bool) {
	byCount := q.count+1 > q.config.MaxCount
	backlog := make(map[string]float64)
	size := func(o Item) float64 {
		if byCount {
			return 1 / o.weight()
		}
		return float64(o.Bytes) / o.weight()
	}
	for _, f := range q.flows {
		for _, e := range f.entries {
			backlog[e.item.Account] += size(e.item)
		}
	}
	backlog[i.Account] += size(i)
	worst := i.Account
	for a, b := range backlog {
		if b > backlog[worst] || b == backlog[worst] && worst != i.Account && a < worst {
			worst = a
		}
	}
	if worst == i.Account {
		return nil, false
	}
	var victim *entry
	for _, p := range []drconfig.Priority{drconfig.Batch, drconfig.Draft, drconfig.Interactive} {
		if f := q.flows[flowKey{worst, p}]; f != nil && len(f.entries) > 0 {
			victim = f.entries[len(f.entries)-1]
			break
		}
	}
	return victim, victim != nil
}

// full returns the refusal of a request that does not fit.
func (q *Queue) full(account string) error {
	after := minRetryAfter
	if rate, ok := q.rate.get(); ok {
		cost := 0.0
		for _, f := range q.flows {
			cost += f.cost
		}
		after = max(after, time.Duration(cost/rate*float64(time.Second)))
	}
	return drerror.New(drerror.NotRun, drerror.QueueFull,
		"queue of model %q holds %d requests and %d bytes; client account %q has the largest backlog",
		q.config.Model, q.count, q.bytes, account).WithRetryAfter(after)
}

// refuse takes a waiting entry out and tells its caller.
func (q *Queue) refuse(e *entry, err error) {
	q.remove(e)
	e.granted <- err
}

// remove takes a waiting entry out of its flow.
func (q *Queue) remove(e *entry) {
	if e.flow.remove(e) {
		q.count--
		q.bytes -= e.item.Bytes
		q.tidy(e.flow)
	}
}

// RemoveIf refuses the waiting items for which match is true with err, which
// should have verdict NotRun, and returns their number. match must not call
// the queue.
func (q *Queue) RemoveIf(match func(Item) bool, err error) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var matched []*entry
	for _, f := range q.flows {
		for _, e := range f.entries {
			if match(e.item) {
				matched = append(matched, e)
			}
		}
	}
	for _, e := range matched {
		q.refuse(e, err)
	}
	return len(matched)
}

// SetWindow sets how many granted items may be unreleased at a time, and
// grants what it allows. A smaller window takes nothing back.
func (q *Queue) SetWindow(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window = n
	q.grant()
}

// Len returns the number of waiting and of granted, unreleased items.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count, q.running
}

// Bytes returns the memory of the waiting requests.
func (q *Queue) Bytes() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

// EstimatedWait returns how long an item would wait if it was enqueued now;
// false if too few items were served to tell.
func (q *Queue) EstimatedWait(i Item) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(i)
	defer q.tidy(f)
	return q.estimate(f)
}

// estimate returns the wait of the last item of f, from the tokens ahead of
// it and the measured service rate. Under fair queueing a flow gets its part
// of the weight of the backlogged flows.
func (q *Queue) estimate(f *flow) (time.Duration, bool) {
	rate, ok := q.rate.get()
	if !ok {
		return 0, false
	}
	if q.running < q.window && q.count == 0 {
		return 0, true
	}
	ahead := 0.0
	for _, o := range q.flows {
		switch {
		case o == f || q.config.Policy == FirstCome:
			ahead += o.cost
		default:
			// Others take their weight's part while f is served, and no more
			// than they have.
			ahead += min(o.cost, f.cost*o.weight/f.weight)
		}
	}
	return time.Duration(ahead / rate * float64(time.Second)), true
}

// grant starts items while the window allows.
func (q *Queue) grant() {
	now := q.config.Clock.Now()
	for q.running < q.window {
		f := q.pick()
		if f == nil {
			return
		}
		e := f.entries[0]
		if d := e.item.Deadline; !d.IsZero() && now.After(d) {
			// Its timer has not run yet, for example after a pause.
			q.refuse(e, q.deadline("deadline passed %v ago", now.Sub(d)))
			continue
		}
		f.remove(e)
		q.count--
		q.bytes -= e.item.Bytes
		q.virtual = max(q.virtual, f.next)
		f.next += e.item.Cost / f.weight
		f.running++
		q.rate.start(q.running, now)
		q.running++
		e.granted <- nil
	}
}

// pick returns the flow to serve next: the one with the smallest start tag.
func (q *Queue) pick() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.entries) > 0 && (best == nil || q.before(f, best)) {
			best = f
		}
	}
	return best
}

func (q *Queue) before(a, b *flow) bool {
	order := cmp.Compare(a.entries[0].sequence, b.entries[0].sequence)
	if q.config.Policy == FirstCome {
		return order < 0
	}
	return cmp.Or(cmp.Compare(a.next, b.next), order) < 0
}

// release returns the function that ends the service of e. The flow is
// charged for what was served in place of what was expected.
func (q *Queue) release(e *entry) Release {
	var once sync.Once
	return func(served float64) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			served = max(0, served)
			e.flow.next += (served - e.item.Cost) / e.flow.weight
			e.flow.running--
			q.running--
			// Estimates are made in expected tokens, so the rate is too.
			q.rate.finish(e.item.Cost, q.config.Clock.Now())
			q.tidy(e.flow)
			q.grant()
		})
	}
}

// flow returns the flow of an item. Its weight follows the last item.
func (q *Queue) flow(i Item) *flow {
	k := flowKey{i.Account, i.Priority}
	f := q.flows[k]
	if f == nil {
		f = &flow{key: k}
		q.flows[k] = f
	}
	f.weight = i.weight()
	return f
}

// tidy drops a flow that holds nothing and owes nothing.
func (q *Queue) tidy(f *flow) {
	if len(f.entries) == 0 && f.running == 0 && f.next <= q.virtual-q.credit() && q.flows[f.key] == f {
		delete(q.flows, f.key)
	}
}
