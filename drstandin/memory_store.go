package drstandin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drstore"
)

// MemoryStore is a drstore.Log that keeps its records in memory. It simulates the
// store of the platform and its failures, and is safe for concurrent use.
type MemoryStore struct {
	mu       sync.Mutex
	topics   map[drstore.Topic]*memoryTopic
	appended chan struct{} // closed and replaced by each append to any topic
	// fault, if not nil, is the error that each call returns. With
	// appendDespiteFault, Append then still adds its record.
	fault              error
	appendDespiteFault bool
	calls              int
	era                uint64
}

type memoryTopic struct {
	records     []drstore.Record
	firstOffset int64 // lowest offset that Read returns
}

// ErrNoAnswer is an error for SetFault. It does not tell whether the append was
// carried out.
var ErrNoAnswer = errors.New("the store did not respond, so an append may have been carried out")

// NewMemoryStore returns an empty MemoryStore. Topics need not be created.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{topics: make(map[drstore.Topic]*memoryTopic), appended: make(chan struct{})}
}

// SetFault makes each later call return err, until it is set to nil. If
// appendAnyway is true, appends are carried out although they return err.
func (m *MemoryStore) SetFault(err error, appendAnyway bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.appendDespiteFault = err, appendAnyway
}

// Calls returns the number of Newest and Append calls, and of attempts to read by
// Read, which tries again after each append to any topic.
func (m *MemoryStore) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Put appends a record with a key, as the operator and the runners do. An empty
// value deletes the key. The simulated fault does not apply.
func (m *MemoryStore) Put(t drstore.Topic, key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appendRecord(t, drstore.Record{Key: key, Value: value})
}

// Expire makes Read fail with drstore.ExpiredError for all current records of a
// topic. Newest still returns the newest record of each key.
func (m *MemoryStore) Expire(t drstore.Topic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	topic := m.topic(t)
	topic.firstOffset = int64(len(topic.records))
}

// Restore makes the store lose all records of a topic but the first ones, as if it came back
// from an older copy, and begins the next era.
func (m *MemoryStore) Restore(t drstore.Topic, kept int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	topic := m.topic(t)
	topic.records = slices.Clone(topic.records[:kept])
	topic.firstOffset = min(topic.firstOffset, int64(kept))
	m.era++
}

// topic returns the topic and creates it if it does not exist. m.mu must be held.
func (m *MemoryStore) topic(t drstore.Topic) *memoryTopic {
	topic, ok := m.topics[t]
	if !ok {
		topic = &memoryTopic{}
		m.topics[t] = topic
	}
	return topic
}

// appendRecord sets the offset of r, appends it and wakes the waiting readers. m.mu
// must be held.
func (m *MemoryStore) appendRecord(t drstore.Topic, r drstore.Record) {
	topic := m.topic(t)
	r.Offset = int64(len(topic.records))
	topic.records = append(topic.records, r)
	close(m.appended)
	m.appended = make(chan struct{})
}

// Newest implements drstore.Log.
func (m *MemoryStore) Newest(_ context.Context, t drstore.Topic, after string) (drstore.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil {
		return drstore.Page{}, m.fault
	}
	topic := m.topic(t)
	newest := make(map[string]drstore.Record)
	for _, r := range topic.records {
		newest[r.Key] = r
	}
	page := drstore.Page{Next: int64(len(topic.records)), End: int64(len(topic.records)), Era: m.era}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		r := newest[key]
		if key <= after && after != "" || len(r.Value) == 0 {
			continue
		}
		if len(page.Records) == drstore.NewestPageRecords {
			page.After = page.Records[drstore.NewestPageRecords-1].Key
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// Read implements drstore.Log.
func (m *MemoryStore) Read(ctx context.Context, t drstore.Topic, from int64, maxKB int, wait time.Duration) (drstore.Page, error) {
	// A timer without a duration is a fault of the race detector in a synctest bubble (Go 1.26).
	timer := time.NewTimer(max(wait, time.Nanosecond))
	defer timer.Stop()
	for {
		m.mu.Lock()
		m.calls++
		appended, topic := m.appended, m.topic(t)
		page := drstore.Page{Next: from, End: int64(len(topic.records)), Era: m.era}
		fault := m.fault
		if fault == nil && (from < topic.firstOffset || from > page.End) {
			fault = &drstore.ExpiredError{First: topic.firstOffset}
		}
		if fault == nil && from < page.End {
			page.Records = firstRecords(topic.records[from:], maxKB)
			page.Next += int64(len(page.Records))
		}
		m.mu.Unlock()
		if fault != nil || len(page.Records) > 0 || wait <= 0 {
			return page, fault
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// recordHeaderSize is the size in bytes of the lengths of a record and its key.
const recordHeaderSize = 5

// firstRecords returns a copy of the first records, as many as a page of a size holds, and one
// at least.
func firstRecords(records []drstore.Record, maxKB int) []drstore.Record {
	size, n := 0, 0
	for ; n < len(records) && (n == 0 || size < maxKB<<10); n++ {
		size += recordHeaderSize + len(records[n].Key) + len(records[n].Value)
	}
	return slices.Clone(records[:n])
}

// Append implements drstore.Log.
func (m *MemoryStore) Append(_ context.Context, t drstore.Topic, value []byte, at drstore.Position) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil && !m.appendDespiteFault {
		return m.fault
	}
	if at.Next != int64(len(m.topic(t).records)) {
		return drstore.ErrConflict
	}
	m.appendRecord(t, drstore.Record{Value: value})
	if at.Era != m.era && m.fault == nil {
		return drstore.ErrConflict
	}
	return m.fault
}
