package drstandin

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// switches holds the fault settings of one stand-in.
type switches[T any] struct {
	mu    sync.Mutex
	value T
}

// Faults returns the faults in force.
func (s *switches[T]) Faults() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// SetFaults replaces the faults in force.
func (s *switches[T]) SetFaults(f T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = f
}

// handle answers the faults path and reports whether it did. Members that the
// body does not name keep their values.
func (s *switches[T]) handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != faultsPath {
		return false
	}
	if ctx.IsPost() {
		s.mu.Lock()
		f := s.value
		err := json.Unmarshal(ctx.PostBody(), &f)
		if err == nil {
			s.value = f
		}
		s.mu.Unlock()
		if err != nil {
			answerError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return true
		}
	}
	answerJSON(ctx, fasthttp.StatusOK, s.Faults())
	return true
}
