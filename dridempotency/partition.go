package dridempotency

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Partition is the fold of one of the streams "once-0" to "once-7". It is safe
// for concurrent use.
type Partition struct {
	window time.Duration

	mu    sync.RWMutex
	calls map[callKey]*call
	// tombstones are attempts that must not win any more.
	tombstones map[string]time.Time
	// order lists calls and tombstones by time, for expiry.
	order []expiry
	// now is the time of the stream: the latest record time.
	now  time.Time
	last uint64
	// After a gap the state is incomplete until completeAt, when all that
	// was missed would have expired.
	gap        bool
	completeAt time.Time
	changed    chan struct{}
}

type callKey struct{ account, key string }

type call struct {
	intent  *drpb.OnceIntent
	outcome *drpb.OnceOutcome
	time    time.Time
}

type expiry struct {
	time    time.Time
	key     callKey
	attempt string
}

var _ drlog.Folder = (*Partition)(nil)

// NewPartition returns the state of an empty stream that remembers calls for
// window. All VMs must use the same window.
func NewPartition(window time.Duration) *Partition {
	return &Partition{
		window: window, calls: make(map[callKey]*call), tombstones: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// Apply implements drlog.Folder. Entries expire by the times of the records,
// so that all readers agree.
func (p *Partition) Apply(r drlog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Time.After(p.now) {
		p.now = r.Time
	}
	if p.last == 0 && r.Offset > 1 {
		p.gap = true
	}
	p.last = r.Offset
	if p.gap {
		p.gap = false
		p.completeAt = p.now.Add(p.window)
	}
	p.expire()
	var e drpb.OnceEntry
	if proto.Unmarshal(r.Data, &e) != nil {
		return
	}
	for _, i := range e.GetIntents() {
		p.intend(i)
	}
	for _, o := range e.GetOutcomes() {
		p.finish(o)
	}
	for _, a := range e.GetAbandons() {
		p.abandon(callKey{a.GetAccount(), a.GetKey()}, a.GetAttempt())
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Partition) expire() {
	n := 0
	for n < len(p.order) && p.now.Sub(p.order[n].time) > p.window {
		x := p.order[n]
		if c := p.calls[x.key]; c != nil && c.intent.GetAttempt() == x.attempt {
			delete(p.calls, x.key)
		}
		if p.tombstones[x.attempt].Equal(x.time) {
			delete(p.tombstones, x.attempt)
		}
		n++
	}
	p.order = p.order[n:]
}

// intend gives the key to the first attempt that asks for it.
func (p *Partition) intend(i *drpb.OnceIntent) {
	k := callKey{i.GetAccount(), i.GetKey()}
	if _, ok := p.tombstones[i.GetAttempt()]; ok || p.calls[k] != nil {
		return
	}
	p.calls[k] = &call{intent: i, time: p.now}
	p.order = append(p.order, expiry{p.now, k, i.GetAttempt()})
}

func (p *Partition) finish(o *drpb.OnceOutcome) {
	k := callKey{o.GetAccount(), o.GetKey()}
	c := p.calls[k]
	if c == nil || c.intent.GetAttempt() != o.GetAttempt() || c.outcome != nil {
		return
	}
	if o.GetVerdict() == notRun {
		p.abandon(k, o.GetAttempt())
		return
	}
	c.outcome = o
}

// abandon frees the key if the attempt has it, and keeps the attempt from
// getting it by an intent that arrives later.
func (p *Partition) abandon(k callKey, attempt string) {
	if c := p.calls[k]; c != nil && c.intent.GetAttempt() == attempt {
		if c.outcome != nil {
			return
		}
		delete(p.calls, k)
	}
	p.tombstones[attempt] = p.now
	p.order = append(p.order, expiry{p.now, k, attempt})
}

// MarkGap says that records were removed by retention before they were read
// and that no snapshot covers them. It precedes the next Apply.
func (p *Partition) MarkGap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gap = true
}

// Complete reports whether the state covers the whole window.
func (p *Partition) Complete() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return !p.gap && !p.now.Before(p.completeAt)
}

// Changed returns a channel that is closed at the next record.
func (p *Partition) Changed() <-chan struct{} {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.changed
}

// lookup returns the winning intent of a key and its outcome, if any. Both
// are never modified.
func (p *Partition) lookup(account, key string) (*drpb.OnceIntent, *drpb.OnceOutcome, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	c := p.calls[callKey{account, key}]
	if c == nil {
		return nil, nil, false
	}
	return c.intent, c.outcome, true
}

// gapPending marks a snapshot that was taken between a gap and a record.
const gapPending = -1

// Snapshot implements drlog.Folder.
func (p *Partition) Snapshot() []byte {
	p.mu.RLock()
	defer p.mu.RUnlock()
	m := drpb.OnceSnapshot{TimeNs: nanos(p.now), CompleteSinceNs: nanos(p.completeAt)}
	if p.gap {
		m.CompleteSinceNs = gapPending
	}
	for _, c := range p.calls {
		m.Calls = append(m.Calls, &drpb.OnceCall{Intent: c.intent, Outcome: c.outcome, TimeNs: nanos(c.time)})
	}
	for a, t := range p.tombstones {
		m.Tombstones = append(m.Tombstones, &drpb.OnceTombstone{Attempt: a, TimeNs: nanos(t)})
	}
	slices.SortFunc(m.Calls, func(a, b *drpb.OnceCall) int {
		return cmp.Or(cmp.Compare(a.TimeNs, b.TimeNs), cmp.Compare(a.Intent.Attempt, b.Intent.Attempt))
	})
	slices.SortFunc(m.Tombstones, func(a, b *drpb.OnceTombstone) int {
		return cmp.Or(cmp.Compare(a.TimeNs, b.TimeNs), cmp.Compare(a.Attempt, b.Attempt))
	})
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&m)
	if err != nil {
		return nil // only for strings that are not UTF-8, which Apply never takes
	}
	return b
}

// Restore implements drlog.Folder.
func (p *Partition) Restore(offset uint64, snapshot []byte) error {
	var m drpb.OnceSnapshot
	if err := proto.Unmarshal(snapshot, &m); err != nil {
		return fmt.Errorf("snapshot of a once partition: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
	clear(p.tombstones)
	p.order = nil
	p.last, p.now = offset, fromNanos(m.GetTimeNs())
	p.gap = m.GetCompleteSinceNs() == gapPending
	p.completeAt = time.Time{}
	if !p.gap {
		p.completeAt = fromNanos(m.GetCompleteSinceNs())
	}
	for _, c := range m.GetCalls() {
		if c.GetIntent() == nil {
			continue
		}
		k := callKey{c.GetIntent().GetAccount(), c.GetIntent().GetKey()}
		p.calls[k] = &call{c.GetIntent(), c.GetOutcome(), fromNanos(c.GetTimeNs())}
		p.order = append(p.order, expiry{fromNanos(c.GetTimeNs()), k, c.GetIntent().GetAttempt()})
	}
	for _, t := range m.GetTombstones() {
		p.tombstones[t.GetAttempt()] = fromNanos(t.GetTimeNs())
		p.order = append(p.order, expiry{time: fromNanos(t.GetTimeNs()), attempt: t.GetAttempt()})
	}
	slices.SortStableFunc(p.order, func(a, b expiry) int { return a.time.Compare(b.time) })
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
