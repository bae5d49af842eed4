package drprocess

import (
	"slices"
	"sync"
)

// idRecorder collects ids of requests. It is safe for concurrent use.
type idRecorder struct {
	mu   sync.Mutex
	list []string
}

func (r *idRecorder) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

func (r *idRecorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}
