package drstandin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Address is the host:port to listen on; if empty, the system chooses a port
	// on 127.0.0.1.
	Address string
	// Name is part of each response, so that a test can tell services apart.
	Name string
}

// ServiceFaults are the faults that a Service simulates. The zero value means none.
type ServiceFaults struct {
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
	// Delay is the time before a request is executed.
	Delay Duration `json:"delay"`
	// LoseAnswer closes the connection after the execution, instead of a response.
	LoseAnswer bool `json:"lose-answer"`
	// Fail responds with status 500 and does not execute the request.
	Fail bool `json:"fail"`
}

// ServiceCounts counts the executed requests: all of them, and by X-Request-Id, path
// and Idempotency-Key.
type ServiceCounts struct {
	Total    int            `json:"total"`
	Requests map[string]int `json:"requests"`
	Paths    map[string]int `json:"paths"`
	Keys     map[string]int `json:"keys"`
}

// ServiceEcho is the response of a Service. It repeats the request; Execution is the
// number of requests executed so far, including this one.
type ServiceEcho struct {
	Name      string              `json:"name"`
	Method    string              `json:"method"`
	Path      string              `json:"path"`
	Query     string              `json:"query"`
	Headers   map[string][]string `json:"headers"`
	Body      string              `json:"body"`
	Execution int                 `json:"execution"`
}

// Service simulates a backend server that runs no models. It is safe for concurrent
// use.
type Service struct {
	server
	faultSettings[ServiceFaults]
	requestRecorder
	config ServiceConfig
	mu     sync.Mutex
	counts ServiceCounts
}

// NewService returns a Service with all counters at 0. Start makes it reachable.
func NewService(c ServiceConfig) *Service {
	return &Service{config: c, counts: ServiceCounts{
		Requests: make(map[string]int), Paths: make(map[string]int), Keys: make(map[string]int),
	}}
}

// Start listens on the configured address and serves requests until Close.
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
	if s.faultSettings.handle(ctx) {
		return
	}
	if string(ctx.Path()) == countsPath {
		respondJSON(ctx, fasthttp.StatusOK, s.Counts())
		return
	}
	if s.requestRecorder.handle(ctx) {
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
		respondError(ctx, fasthttp.StatusInternalServerError, "request rejected by the fail fault")
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

// countExecution counts a request as executed and returns the new total.
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

// MostPerRequest returns the highest number of executions with the same
// X-Request-Id, or 0 if there were none.
func (s *Service) MostPerRequest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Max(append(slices.Collect(maps.Values(s.counts.Requests)), 0))
}
