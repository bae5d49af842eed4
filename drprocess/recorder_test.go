package drprocess

import (
	"slices"
	"sync"
)

// idRecorder collects ids of requests. It is safe for concurrent use.
type idRecorder struct {
	mu  sync.Mutex
	ids []string
}

func (r *idRecorder) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

func (r *idRecorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ids)
}
