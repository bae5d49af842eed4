package drstandin

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// faultSettings holds the faults that a simulated system currently has, of type T.
type faultSettings[T any] struct {
	mu     sync.Mutex
	faults T
}

// Faults returns the current faults.
func (s *faultSettings[T]) Faults() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults, for requests that check them from now on.
func (s *faultSettings[T]) SetFaults(faults T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// handle handles requests to /v1/faults and reports whether this was one. POST
// changes the members that its body names and leaves the others as they are.
func (s *faultSettings[T]) handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != faultsPath {
		return false
	}
	if ctx.IsPost() {
		s.mu.Lock()
		faults := s.faults
		err := json.Unmarshal(ctx.PostBody(), &faults)
		if err == nil {
			s.faults = faults
		}
		s.mu.Unlock()
		if err != nil {
			respondError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return true
		}
	}
	respondJSON(ctx, fasthttp.StatusOK, s.Faults())
	return true
}
