package drprocess

import (
	"slices"
	"sync"
)

// recorder collects texts from several goroutines.
type recorder struct {
	mu   sync.Mutex
	list []string
}

func (r *recorder) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}
