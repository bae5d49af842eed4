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
	// Weights of the priorities. No priority starves: batch work still gets
	// 1/21 of the service when all three have waiting items.
	interactiveWeight = 16
	draftWeight       = 4
	batchWeight       = 1

	// creditDuration is the service, as time, that an account may catch up on
	// after it used less than its share. Without it, the few requests of a
	// light account would be spread out between those of an account with a long
	// backlog.
	creditDuration = 250 * time.Millisecond

	// rateDecay is the time constant of the measured service rate. It covers
	// many requests, because one long request must not look like a stall.
	rateDecay = 10 * time.Second
	// minRateSamples is the number of requests that must have finished before
	// waits are estimated. Until then, no request is refused because of its
	// estimated wait.
	minRateSamples = 20
	// minRetryAfter is the shortest Retry-After time when the queue is full.
	minRetryAfter = time.Second
)

// Config configures a Queue. Clock, Recorder, MaxCount and MaxBytes must be
// set.
type Config struct {
	Clock    drclock.Clock
	Recorder drtimeline.Recorder
	Policy   Policy
	// Model is the name of the model in errors and events.
	Model string
	// MaxCount and MaxBytes bound the number and the memory of the waiting
	// requests.
	MaxCount int
	MaxBytes int64
}

// Queue is the queue of one model on one entry VM. Its window is 0 at first, so
// nothing is granted before SetWindow. It is safe for concurrent use.
// Unexported methods are called with mu held, except withdraw, deadlineError
// and releaseFunc.
type Queue struct {
	config       Config
	mu           sync.Mutex
	flows        map[flowKey]*accountFlow
	virtualTime  float64 // largest start tag of an item granted so far
	lastSequence uint64  // arrivals so far
	waiting      int     // items neither granted nor refused
	waitingBytes int64   // memory of the waiting items
	window       int     // maximum number of granted, unreleased items
	running      int     // granted, unreleased items
	rate         serviceRate
}

// New returns an empty queue with a window of 0.
func New(config Config) *Queue {
	return &Queue{config: config, flows: make(map[flowKey]*accountFlow)}
}

// Release ends the service of a granted item. served is the number of tokens
// that the service took. Only the first call has an effect.
type Release func(served float64)

// Enqueue waits until the item is granted. The caller must call the returned
// Release when the service has ended. Errors are *drerror.Error with verdict
// NotRun. Their reason is MalformedRequest if the cost or size is negative,
// TooLarge if the item alone exceeds MaxBytes, QueueFull if the queue is full
// and the account has the largest backlog in it (with FirstCome, if the queue is
// full), Deadline if the deadline of the item passes or cannot be met,
// CallerGone if ctx was cancelled, or that of the error given to RemoveIf.
func (q *Queue) Enqueue(ctx context.Context, item Item) (Release, error) {
	now := q.config.Clock.Now()
	if item.Priority == "" {
		item.Priority = drconfig.Interactive
	}
	entry := &queueEntry{item: item, result: make(chan error, 1)}
	q.mu.Lock()
	if err := q.admit(entry, now); err != nil {
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
	case err = <-entry.result:
	case <-expired:
		err = q.withdraw(entry, q.deadlineError("deadline passed after %v in the queue", item.Deadline.Sub(now)))
	case <-ctx.Done():
		err = q.withdraw(entry, contextError(ctx))
	}
	if err != nil {
		q.config.Recorder.Record(drtimeline.Event{
			Name: drtimeline.QueueRefused, RequestID: item.RequestID, Account: item.Account, Model: q.config.Model,
			Reason: drerror.ReasonOf(err).String(), Took: q.config.Clock.Since(now),
		})
		return nil, err
	}
	return q.releaseFunc(entry), nil
}

// contextError returns the error that refuses a request whose context ended.
func contextError(ctx context.Context) error {
	err := context.Cause(ctx)
	reason := drerror.ReasonOf(err)
	if reason != drerror.Deadline {
		reason = drerror.CallerGone
	}
	return drerror.Wrap(drerror.NotRun, reason, err, "request ended while waiting in the queue")
}

// deadlineError returns an error with reason Deadline that names the model.
func (q *Queue) deadlineError(format string, args ...any) error {
	return drerror.New(drerror.NotRun, drerror.Deadline, "model %q: "+format, append([]any{q.config.Model}, args...)...)
}

// withdraw removes the entry from the queue and returns err. If the entry was
// granted or refused in the meantime, it returns that result instead.
func (q *Queue) withdraw(entry *queueEntry, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case earlier := <-entry.result:
		return earlier
	default:
	}
	q.remove(entry)
	return err
}

// admit adds the entry to its flow, or returns an error that refuses it.
func (q *Queue) admit(entry *queueEntry, now time.Time) error {
	item := entry.item
	if !(item.Cost >= 0) || item.Bytes < 0 {
		return drerror.New(drerror.NotRun, drerror.MalformedRequest, "cost %g or size %d is negative", item.Cost, item.Bytes)
	}
	if item.Bytes > q.config.MaxBytes {
		return drerror.New(drerror.NotRun, drerror.TooLarge,
			"request of %d bytes exceeds the %d bytes of the queue of model %q", item.Bytes, q.config.MaxBytes, q.config.Model)
	}
	flow := q.flowOf(item)
	if wait, ok := q.estimateWait(flow); !item.Deadline.IsZero() && (!item.Deadline.After(now) || ok && now.Add(wait).After(item.Deadline)) {
		q.removeIdleFlow(flow)
		return q.deadlineError("the deadline has passed or is before the end of the estimated wait of %v", wait)
	}
	if err := q.makeRoom(item); err != nil {
		q.removeIdleFlow(flow)
		return err
	}
	// makeRoom may have emptied and deleted the flow.
	flow = q.flowOf(item)
	if len(flow.entries) == 0 {
		flow.startTag = max(flow.startTag, q.virtualTime-q.startTagCredit())
	}
	q.lastSequence++
	entry.flow, entry.sequence = flow, q.lastSequence
	flow.entries = append(flow.entries, entry)
	flow.backlogCost += item.Cost
	q.waiting++
	q.waitingBytes += item.Bytes
	return nil
}

// startTagCredit returns how far the start tag of a flow that becomes active
// may lie behind the virtual time, in tokens per weight.
func (q *Queue) startTagCredit() float64 {
	rate, _ := q.rate.tokensPerSecond()
	return rate * creditDuration.Seconds() / interactiveWeight
}

// makeRoom refuses waiting items of the accounts with the largest backlog until
// the new item fits. It returns an error if the item does not fit and its own
// account has the largest backlog, or if items are served in order of arrival.
func (q *Queue) makeRoom(item Item) error {
	for q.waiting+1 > q.config.MaxCount || q.waitingBytes+item.Bytes > q.config.MaxBytes {
		if q.config.Policy == FirstCome {
			return q.fullError(item.Account)
		}
		victim, ok := q.evictionVictim(item)
		if !ok {
			return q.fullError(item.Account)
		}
		q.refuse(victim, q.fullError(victim.item.Account))
	}
	return nil
}

// evictionVictim returns the entry to refuse in favor of the item: the newest
// of the lowest priority of the account with the largest backlog in relation to
// its weight. It returns false if that is the item's own account. The backlog
// is measured in items or bytes, whichever bound is exceeded.
func (q *Queue) evictionVictim(item Item) (*queueEntry, bool) {
	byCount := q.waiting+1 > q.config.MaxCount
	backlog := make(map[string]float64)
	sizeByWeight := func(other Item) float64 {
		if byCount {
			return 1 / other.weight()
		}
		return float64(other.Bytes) / other.weight()
	}
	for _, f := range q.flows {
		for _, e := range f.entries {
			backlog[e.item.Account] += sizeByWeight(e.item)
		}
	}
	backlog[item.Account] += sizeByWeight(item)
	largest := item.Account
	for account, size := range backlog {
		if size > backlog[largest] || size == backlog[largest] && largest != item.Account && account < largest {
			largest = account
		}
	}
	if largest == item.Account {
		return nil, false
	}
	var victim *queueEntry
	for _, p := range []drconfig.Priority{drconfig.Batch, drconfig.Draft, drconfig.Interactive} {
		if f := q.flows[flowKey{largest, p}]; f != nil && len(f.entries) > 0 {
			victim = f.entries[len(f.entries)-1]
			break
		}
	}
	return victim, victim != nil
}

// fullError returns the error that refuses an item of the account because the
// queue is full. Its Retry-After is the time in which the present backlog is
// served, but at least minRetryAfter.
func (q *Queue) fullError(account string) error {
	retryAfter := minRetryAfter
	if rate, ok := q.rate.tokensPerSecond(); ok {
		cost := 0.0
		for _, f := range q.flows {
			cost += f.backlogCost
		}
		retryAfter = max(retryAfter, time.Duration(cost/rate*float64(time.Second)))
	}
	return drerror.New(drerror.NotRun, drerror.QueueFull,
		"queue of model %q holds %d requests and %d bytes; client account %q has the largest backlog",
		q.config.Model, q.waiting, q.waitingBytes, account).WithRetryAfter(retryAfter)
}

// refuse removes a waiting entry and makes its Enqueue return err.
func (q *Queue) refuse(entry *queueEntry, err error) {
	q.remove(entry)
	entry.result <- err
}

// remove removes a waiting entry from the queue. It does nothing if the entry
// is not waiting.
func (q *Queue) remove(entry *queueEntry) {
	if entry.flow.remove(entry) {
		q.waiting--
		q.waitingBytes -= entry.item.Bytes
		q.removeIdleFlow(entry.flow)
	}
}

// RemoveIf refuses the waiting items for which match returns true and returns
// their number. err is what their Enqueue returns; it should have verdict
// NotRun. match must not call the queue, which is locked.
func (q *Queue) RemoveIf(match func(Item) bool, err error) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var matched []*queueEntry
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

// SetWindow sets how many granted items may be unreleased at a time, and grants
// waiting items up to that number. A smaller window does not affect items that
// were granted before.
func (q *Queue) SetWindow(window int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window = window
	q.grant()
}

// Len returns the number of waiting items and of granted items that were not
// released.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting, q.running
}

// Bytes returns the memory of the waiting items.
func (q *Queue) Bytes() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waitingBytes
}

// EstimatedWait returns how long the item would wait if it was enqueued now. It
// returns false until minRateSamples items have finished.
func (q *Queue) EstimatedWait(item Item) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	flow := q.flowOf(item)
	defer q.removeIdleFlow(flow)
	return q.estimateWait(flow)
}

// estimateWait returns how long an item at the end of the flow waits, from the
// tokens to be served before it and the measured service rate, or false if the
// rate is unknown.
func (q *Queue) estimateWait(flow *accountFlow) (time.Duration, bool) {
	rate, ok := q.rate.tokensPerSecond()
	if !ok {
		return 0, false
	}
	if q.running < q.window && q.waiting == 0 {
		return 0, true
	}
	costAhead := 0.0
	for _, other := range q.flows {
		switch {
		case other == flow || q.config.Policy == FirstCome:
			costAhead += other.backlogCost
		default:
			// Under fair queueing, other flows are served in proportion to
			// their weight while this flow is, and at most all they have.
			costAhead += min(other.backlogCost, flow.backlogCost*other.weight/flow.weight)
		}
	}
	return time.Duration(costAhead / rate * float64(time.Second)), true
}

// grant grants waiting items while the window allows.
func (q *Queue) grant() {
	now := q.config.Clock.Now()
	for q.running < q.window {
		flow := q.nextFlow()
		if flow == nil {
			return
		}
		entry := flow.entries[0]
		if d := entry.item.Deadline; !d.IsZero() && now.After(d) {
			// The timer of Enqueue has not run yet, for example because the
			// process was paused.
			q.refuse(entry, q.deadlineError("deadline passed %v ago", now.Sub(d)))
			continue
		}
		flow.remove(entry)
		q.waiting--
		q.waitingBytes -= entry.item.Bytes
		q.virtualTime = max(q.virtualTime, flow.startTag)
		flow.startTag += entry.item.Cost / flow.weight
		flow.running++
		q.rate.itemStarted(q.running, now)
		q.running++
		entry.result <- nil
	}
}

// nextFlow returns the flow to serve next, nil if no item waits.
func (q *Queue) nextFlow() *accountFlow {
	var best *accountFlow
	for _, f := range q.flows {
		if len(f.entries) > 0 && (best == nil || q.servesBefore(f, best)) {
			best = f
		}
	}
	return best
}

// servesBefore reports whether flow a is served before b. Both must have
// waiting items. Equal start tags are served in order of arrival.
func (q *Queue) servesBefore(a, b *accountFlow) bool {
	arrival := cmp.Compare(a.entries[0].sequence, b.entries[0].sequence)
	if q.config.Policy == FirstCome {
		return arrival < 0
	}
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), arrival) < 0
}

// releaseFunc returns the function that ends the service of a granted entry. It
// corrects the start tag of the flow, which was charged with the expected cost,
// to the tokens that were served.
func (q *Queue) releaseFunc(entry *queueEntry) Release {
	var once sync.Once
	return func(served float64) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			served = max(0, served)
			entry.flow.startTag += (served - entry.item.Cost) / entry.flow.weight
			entry.flow.running--
			q.running--
			// Waits are estimated from expected costs, so the rate is measured
			// in expected costs too.
			q.rate.itemFinished(entry.item.Cost, q.config.Clock.Now())
			q.removeIdleFlow(entry.flow)
			q.grant()
		})
	}
}

// flowOf returns the flow of the item, creating it if needed. The weight of the
// flow is that of the item seen last.
func (q *Queue) flowOf(item Item) *accountFlow {
	key := flowKey{item.Account, item.Priority}
	flow := q.flows[key]
	if flow == nil {
		flow = &accountFlow{key: key}
		q.flows[key] = flow
	}
	flow.weight = item.weight()
	return flow
}

// removeIdleFlow deletes the flow if it has no waiting or running items and its
// start tag no longer matters. A flow that was served lately is kept: created
// anew it would get an earlier start tag, and so more than its share.
func (q *Queue) removeIdleFlow(flow *accountFlow) {
	if len(flow.entries) == 0 && flow.running == 0 && flow.startTag <= q.virtualTime-q.startTagCredit() && q.flows[flow.key] == flow {
		delete(q.flows, flow.key)
	}
}
