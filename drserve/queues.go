package drserve

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/drqueue"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// coldWindow is how many requests for a model that is not loaded may wait
	// for its wake-up outside the queue. One suffices to cause the wake-up.
	coldWindow        = 1
	maxQueuedPerModel = 4096 // requests of one model
)

// modelQueues holds the queue of each model in use.
type modelQueues struct {
	clock    drclock.Clock
	events   drtimeline.Recorder
	config   *drconfig.Fold
	policy   drqueue.Policy
	maxBytes int64
	// concurrency returns how many generations of a model may run at once.
	concurrency func(model, adapter string) int
	// requestReplica asks for another replica of a model that has a backlog.
	requestReplica func(model string)

	mu     sync.Mutex
	queues map[string]*drqueue.Queue
}

// Enqueue implements drgateway.Queue.
func (q *modelQueues) Enqueue(ctx context.Context, i drgateway.Item) (func(float64), error) {
	weight := 1
	if a, ok := q.config.Current().Account(i.Account); ok {
		weight = max(a.Weight, 1)
	}
	queue := q.queue(i.Model)
	queue.SetWindow(q.window(i.Model))
	release, err := queue.Enqueue(ctx, drqueue.Item{
		Account: i.Account, Weight: weight, Priority: i.Priority, Cost: i.Tokens, Bytes: int64(i.Bytes), Deadline: i.Deadline,
		RequestID: i.RequestID,
	})
	if err != nil {
		return nil, err
	}
	return release, nil
}

// refreshWindows follows the dispatch windows and asks for replicas where requests
// wait although all places are taken.
func (q *modelQueues) refreshWindows() {
	q.mu.Lock()
	models := make(map[string]*drqueue.Queue, len(q.queues))
	for m, queue := range q.queues {
		models[m] = queue
	}
	q.mu.Unlock()
	for m, queue := range models {
		window := q.window(m)
		queue.SetWindow(window)
		if waiting, running := queue.Len(); waiting > 0 && running >= window && window > coldWindow {
			q.requestReplica(m)
		}
	}
}

// updateWindow takes over the dispatch window of a model at once.
func (q *modelQueues) updateWindow(model string) { q.queue(model).SetWindow(q.window(model)) }

func (q *modelQueues) window(model string) int { return max(q.concurrency(model, ""), coldWindow) }

func (q *modelQueues) queue(model string) *drqueue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[model]
	if queue == nil {
		queue = drqueue.New(drqueue.Config{
			Clock: q.clock, Recorder: q.events, Policy: q.policy, Model: model, MaxCount: maxQueuedPerModel, MaxBytes: q.maxBytes,
		})
		q.queues[model] = queue
	}
	return queue
}

func newQueueMap() map[string]*drqueue.Queue { return make(map[string]*drqueue.Queue) }

// models returns the models that were asked for here.
func (q *modelQueues) models() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.queues))
}

// queued returns the number and the memory of the waiting requests.
func (q *modelQueues) queued() (count int, bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queue := range q.queues {
		waiting, _ := queue.Len()
		count += waiting
		bytes += queue.Bytes()
	}
	return count, bytes
}

// status returns the queues that hold requests.
func (q *modelQueues) status() []dradmin.QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var statuses []dradmin.QueueStatus
	for m, queue := range q.queues {
		if waiting, running := queue.Len(); waiting+running > 0 {
			statuses = append(statuses, dradmin.QueueStatus{Model: m, Waiting: waiting, Running: running})
		}
	}
	slices.SortFunc(statuses, func(a, b dradmin.QueueStatus) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return statuses
}
