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

// Partition is the state that results from applying the records of one of the
// streams "once-0" to "once-7" in order. For each key it holds the winning
// attempt and its outcome. It is safe for concurrent use.
type Partition struct {
	window time.Duration

	mu    sync.RWMutex
	calls map[callKey]*callRecord
	// tombstones holds the attempts that must not win any more, each with the
	// time at which it was added.
	tombstones map[string]time.Time
	// expiries lists calls and tombstones in order of time, oldest first.
	expiries []expiry
	// streamTime is the latest time of an applied record. Entries expire by it
	// and not by this VM's clock.
	streamTime time.Time
	// lastOffset is the offset of the last applied record, 0 before the first.
	// If the first record has an offset above 1, older records are missing.
	lastOffset uint64
	// gap is set from when records are found to be missing until the next
	// record is applied. The state then stays incomplete until streamTime
	// reaches completeAt, when all missing entries would have expired.
	gap        bool
	completeAt time.Time
	// changed is closed and replaced when the state changes.
	changed chan struct{}
}

type callKey struct{ account, key string }

// callRecord is the call that holds a key. outcome is nil until one is recorded;
// time is the streamTime at which the intent was applied.
type callRecord struct {
	intent  *drpb.OnceIntent
	outcome *drpb.OnceOutcome
	time    time.Time
}

// expiry names a call or the tombstone of an attempt, to be removed when time is
// older than the window. key is empty for restored tombstones.
type expiry struct {
	time    time.Time
	key     callKey
	attempt string
}

var _ drlog.Folder = (*Partition)(nil)

// NewPartition returns the state of an empty stream, which remembers calls and
// abandoned attempts for window. All VMs must use the same window; see Window.
func NewPartition(window time.Duration) *Partition {
	return &Partition{
		window: window, calls: make(map[callKey]*callRecord), tombstones: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// Apply implements drlog.Folder. Entries expire by the times of the records and
// not by the local clock, so that all readers agree. A record that can't be
// decoded is skipped.
func (p *Partition) Apply(record drlog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if record.Time.After(p.streamTime) {
		p.streamTime = record.Time
	}
	if p.lastOffset == 0 && record.Offset > 1 {
		p.gap = true
	}
	p.lastOffset = record.Offset
	if p.gap {
		p.gap = false
		p.completeAt = p.streamTime.Add(p.window)
	}
	p.expire()
	var entry drpb.OnceEntry
	if proto.Unmarshal(record.Data, &entry) != nil {
		return
	}
	for _, i := range entry.GetIntents() {
		p.applyIntent(i)
	}
	for _, o := range entry.GetOutcomes() {
		p.applyOutcome(o)
	}
	for _, a := range entry.GetAbandons() {
		p.applyAbandon(callKey{a.GetAccount(), a.GetKey()}, a.GetAttempt())
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// expire removes the calls and tombstones that are older than the window.
func (p *Partition) expire() {
	expired := 0
	for expired < len(p.expiries) && p.streamTime.Sub(p.expiries[expired].time) > p.window {
		oldest := p.expiries[expired]
		if call := p.calls[oldest.key]; call != nil && call.intent.GetAttempt() == oldest.attempt {
			delete(p.calls, oldest.key)
		}
		if p.tombstones[oldest.attempt].Equal(oldest.time) {
			delete(p.tombstones, oldest.attempt)
		}
		expired++
	}
	p.expiries = p.expiries[expired:]
}

// applyIntent gives the key to the first attempt that asks for it. It ignores
// attempts that were abandoned before.
func (p *Partition) applyIntent(intent *drpb.OnceIntent) {
	key := callKey{intent.GetAccount(), intent.GetKey()}
	if _, ok := p.tombstones[intent.GetAttempt()]; ok || p.calls[key] != nil {
		return
	}
	p.calls[key] = &callRecord{intent: intent, time: p.streamTime}
	p.expiries = append(p.expiries, expiry{p.streamTime, key, intent.GetAttempt()})
}

// applyOutcome stores the first outcome of the attempt that holds the key, or
// frees the key if the verdict is NotRun. Other outcomes are ignored.
func (p *Partition) applyOutcome(outcome *drpb.OnceOutcome) {
	key := callKey{outcome.GetAccount(), outcome.GetKey()}
	call := p.calls[key]
	if call == nil || call.intent.GetAttempt() != outcome.GetAttempt() || call.outcome != nil {
		return
	}
	if outcome.GetVerdict() == notRunVerdict {
		p.applyAbandon(key, outcome.GetAttempt())
		return
	}
	call.outcome = outcome
}

// applyAbandon frees the key if the attempt holds it, and adds a tombstone, so
// that an intent of this attempt that arrives later doesn't get the key. It does
// nothing if the attempt already has an outcome.
func (p *Partition) applyAbandon(key callKey, attempt string) {
	if call := p.calls[key]; call != nil && call.intent.GetAttempt() == attempt {
		if call.outcome != nil {
			return
		}
		delete(p.calls, key)
	}
	p.tombstones[attempt] = p.streamTime
	p.expiries = append(p.expiries, expiry{p.streamTime, key, attempt})
}

// MarkGap marks the state as incomplete, because the log's retention removed
// records before they were read and no snapshot covers them. Call it before the
// next Apply.
func (p *Partition) MarkGap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gap = true
}

// Complete reports whether the state covers the whole window. If not, a key that
// looks free may belong to a call in a missing record.
func (p *Partition) Complete() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return !p.gap && !p.streamTime.Before(p.completeAt)
}

// Changed returns a channel that is closed when the next record that can be
// decoded is applied or a snapshot is restored.
func (p *Partition) Changed() <-chan struct{} {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.changed
}

// lookup returns the winning intent of a key and its outcome, which is nil while
// the attempt runs. The last result is false if the key is free. The returned
// messages are shared: nobody may modify them.
func (p *Partition) lookup(account, key string) (*drpb.OnceIntent, *drpb.OnceOutcome, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	call := p.calls[callKey{account, key}]
	if call == nil {
		return nil, nil, false
	}
	return call.intent, call.outcome, true
}

// gapPending is the CompleteSinceNs of a snapshot that was taken after a gap
// was found and before the next record was applied.
const gapPending = -1

// Snapshot implements drlog.Folder. Equal states give equal bytes.
func (p *Partition) Snapshot() []byte {
	p.mu.RLock()
	defer p.mu.RUnlock()
	snapshot := drpb.OnceSnapshot{TimeNs: toUnixNanos(p.streamTime), CompleteSinceNs: toUnixNanos(p.completeAt)}
	if p.gap {
		snapshot.CompleteSinceNs = gapPending
	}
	for _, c := range p.calls {
		snapshot.Calls = append(snapshot.Calls, &drpb.OnceCall{Intent: c.intent, Outcome: c.outcome, TimeNs: toUnixNanos(c.time)})
	}
	for a, t := range p.tombstones {
		snapshot.Tombstones = append(snapshot.Tombstones, &drpb.OnceTombstone{Attempt: a, TimeNs: toUnixNanos(t)})
	}
	slices.SortFunc(snapshot.Calls, func(a, b *drpb.OnceCall) int {
		return cmp.Or(cmp.Compare(a.TimeNs, b.TimeNs), cmp.Compare(a.Intent.Attempt, b.Intent.Attempt))
	})
	slices.SortFunc(snapshot.Tombstones, func(a, b *drpb.OnceTombstone) int {
		return cmp.Or(cmp.Compare(a.TimeNs, b.TimeNs), cmp.Compare(a.Attempt, b.Attempt))
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&snapshot)
	if err != nil {
		return nil // only for strings that are not UTF-8, which Apply's decoding rejects
	}
	return data
}

// Restore implements drlog.Folder. On an error the state is unchanged.
func (p *Partition) Restore(offset uint64, snapshot []byte) error {
	var message drpb.OnceSnapshot
	if err := proto.Unmarshal(snapshot, &message); err != nil {
		return fmt.Errorf("decoding the snapshot of an idempotency partition: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
	clear(p.tombstones)
	p.expiries = nil
	p.lastOffset, p.streamTime = offset, fromUnixNanos(message.GetTimeNs())
	p.gap = message.GetCompleteSinceNs() == gapPending
	p.completeAt = time.Time{}
	if !p.gap {
		p.completeAt = fromUnixNanos(message.GetCompleteSinceNs())
	}
	for _, c := range message.GetCalls() {
		if c.GetIntent() == nil {
			continue
		}
		key := callKey{c.GetIntent().GetAccount(), c.GetIntent().GetKey()}
		p.calls[key] = &callRecord{c.GetIntent(), c.GetOutcome(), fromUnixNanos(c.GetTimeNs())}
		p.expiries = append(p.expiries, expiry{fromUnixNanos(c.GetTimeNs()), key, c.GetIntent().GetAttempt()})
	}
	for _, t := range message.GetTombstones() {
		p.tombstones[t.GetAttempt()] = fromUnixNanos(t.GetTimeNs())
		p.expiries = append(p.expiries, expiry{time: fromUnixNanos(t.GetTimeNs()), attempt: t.GetAttempt()})
	}
	slices.SortStableFunc(p.expiries, func(a, b expiry) int { return a.time.Compare(b.time) })
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// toUnixNanos returns 0 for the zero time, as fromUnixNanos expects.
func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
