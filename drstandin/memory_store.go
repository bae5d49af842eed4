package drstandin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drstore"
)

// MemoryStore is a drstore.Log in memory, a stand-in for the platform's store
// with the failures of a real one.
type MemoryStore struct {
	mu       sync.Mutex
	topics   map[drstore.Topic]*memoryTopic
	appended chan struct{}
	// fault, if not nil, is returned by each call; with lost, appends are
	// carried out all the same.
	fault              error
	appendDespiteFault bool
	calls              int
}

type memoryTopic struct {
	records     []drstore.Record
	firstOffset int64
}

// ErrNoAnswer is an example of an error after which an append may have been
// carried out.
var ErrNoAnswer = errors.New("the store did not answer")

// NewMemoryStore returns an empty MemoryStore.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{topics: make(map[drstore.Topic]*memoryTopic), appended: make(chan struct{})}
}

// SetFault has each call fail with err; if lost is set, appends are carried
// out all the same. A nil err ends the fault.
func (m *MemoryStore) SetFault(err error, appendAnyway bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.appendDespiteFault = err, appendAnyway
}

// Calls returns the number of calls so far.
func (m *MemoryStore) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Put appends a record with a key, as the operator and the runners do. An
// empty value drops the key.
func (m *MemoryStore) Put(t drstore.Topic, key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appendRecord(t, drstore.Record{Key: key, Value: value})
}

// Expire drops the records of a topic, but not the newest of each key.
func (m *MemoryStore) Expire(t drstore.Topic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	topic := m.topic(t)
	topic.firstOffset = int64(len(topic.records))
}

func (m *MemoryStore) topic(t drstore.Topic) *memoryTopic {
	topic, ok := m.topics[t]
	if !ok {
		topic = &memoryTopic{}
		m.topics[t] = topic
	}
	return topic
}

func (m *MemoryStore) appendRecord(t drstore.Topic, r drstore.Record) {
	topic := m.topic(t)
	r.Offset = int64(len(topic.records))
	topic.records = append(topic.records, r)
	close(m.appended)
	m.appended = make(chan struct{})
}

// Newest implements Log.
func (m *MemoryStore) Newest(_ context.Context, t drstore.Topic) (drstore.Page, error) {
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
	page := drstore.Page{Next: int64(len(topic.records)), End: int64(len(topic.records))}
	for _, r := range newest {
		if len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Read implements Log.
func (m *MemoryStore) Read(ctx context.Context, t drstore.Topic, from int64, wait time.Duration) (drstore.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		m.calls++
		appended, topic := m.appended, m.topic(t)
		page := drstore.Page{Next: from, End: int64(len(topic.records))}
		fault := m.fault
		if fault == nil && from < topic.firstOffset {
			fault = &drstore.ExpiredError{First: topic.firstOffset}
		}
		if fault == nil && from < page.End {
			page.Records, page.Next = append(page.Records, topic.records[from:]...), page.End
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

// Append implements Log.
func (m *MemoryStore) Append(_ context.Context, t drstore.Topic, value []byte, expectedOffset int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.fault != nil && !m.appendDespiteFault {
		return m.fault
	}
	if expectedOffset != int64(len(m.topic(t).records)) {
		return drstore.ErrConflict
	}
	m.appendRecord(t, drstore.Record{Value: value})
	return m.fault
}
