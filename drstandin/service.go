package drstandin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceConfig sets up a Service.
type ServiceConfig struct {
	Address string
	// Name is repeated in answers, so that a test sees who answered.
	Name string
}

// ServiceFaults are the faults of a Service.
type ServiceFaults struct {
	Down bool `json:"down"`
	// Delay precedes the effect.
	Delay Duration `json:"delay"`
	// LoseAnswer drops the connection after the effect.
	LoseAnswer bool `json:"lose-answer"`
	// Fail answers 500 without an effect.
	Fail bool `json:"fail"`
}

// ServiceCounts counts executions by X-Request-Id, path and Idempotency-Key.
type ServiceCounts struct {
	Total    int            `json:"total"`
	Requests map[string]int `json:"requests"`
	Paths    map[string]int `json:"paths"`
	Keys     map[string]int `json:"keys"`
}

// ServiceEcho is the body of a Service's answers.
type ServiceEcho struct {
	Name      string              `json:"name"`
	Method    string              `json:"method"`
	Path      string              `json:"path"`
	Query     string              `json:"query"`
	Headers   map[string][]string `json:"headers"`
	Body      string              `json:"body"`
	Execution int                 `json:"execution"`
}

// Service stands in for a plain service.
type Service struct {
	server
	faultSettings[ServiceFaults]
	requestRecorder
	config ServiceConfig
	mu     sync.Mutex
	counts ServiceCounts
}

// NewService returns a Service.
func NewService(c ServiceConfig) *Service {
	return &Service{config: c, counts: ServiceCounts{
		Requests: make(map[string]int), Paths: make(map[string]int), Keys: make(map[string]int),
	}}
}

// Start begins to listen.
func (s *Service) Start() error { return s.listen(s.config.Address, s.handle) }

// Counts returns a copy of the counters.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Requests, counts.Paths, counts.Keys = maps.Clone(counts.Requests), maps.Clone(counts.Paths), maps.Clone(counts.Keys)
	return counts
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if s.faultSettings.handleFaults(ctx) {
		return
	}
	if string(ctx.Path()) == countsPath {
		respondJSON(ctx, fasthttp.StatusOK, s.Counts())
		return
	}
	if s.requestRecorder.handleSaw(ctx) {
		return
	}
	faults := s.Faults()
	if faults.Down {
		dropConn(ctx)
		return
	}
	s.record(ctx)
	if !s.pause(time.Duration(faults.Delay)) {
		dropConn(ctx)
		return
	}
	if faults.Fail {
		respondError(ctx, fasthttp.StatusInternalServerError, "failure switched on")
		return
	}
	execution := s.countExecution(ctx)
	if faults.LoseAnswer {
		dropConn(ctx)
		return
	}
	headers := make(map[string][]string)
	for k, v := range ctx.Request.Header.All() {
		headers[string(k)] = append(headers[string(k)], string(v))
	}
	respondJSON(ctx, fasthttp.StatusOK, ServiceEcho{
		Name: s.config.Name, Method: string(ctx.Method()), Path: string(ctx.Path()),
		Query: string(ctx.URI().QueryString()), Headers: headers, Body: string(ctx.PostBody()), Execution: execution,
	})
}

func (s *Service) countExecution(ctx *fasthttp.RequestCtx) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.Paths[string(ctx.Path())]++
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		s.counts.Requests[string(id)]++
	}
	if k := ctx.Request.Header.Peek("Idempotency-Key"); len(k) > 0 {
		s.counts.Keys[string(k)]++
	}
	return s.counts.Total
}

// MostPerRequest returns the highest number of executions of one X-Request-Id.
func (s *Service) MostPerRequest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Max(append(slices.Collect(maps.Values(s.counts.Requests)), 0))
}
