package drstandin

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// faultSettings holds the fault settings of one stand-in.
type faultSettings[T any] struct {
	mu     sync.Mutex
	faults T
}

// Faults returns the faults in force.
func (s *faultSettings[T]) Faults() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *faultSettings[T]) SetFaults(faults T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// handleFaults answers the faults path and reports whether it did. Members that the
// body does not name keep their values.
func (s *faultSettings[T]) handleFaults(ctx *fasthttp.RequestCtx) bool {
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
