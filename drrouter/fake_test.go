package drrouter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// fakeFleet is a set of engines that all produce the same tokens.
type fakeFleet struct {
	mu      sync.Mutex
	length  int // tokens of each generation
	engines map[string]*fakeEngine
	poison  string // prompt that crashes an engine at its second token
	crashes int
	hidden  map[string]bool // engines without the model
	woken   string          // address that a wake-up gives, none if empty
	wakes   int
	// edit may replace or break a token as the engine sends it.
	edit func(e *fakeEngine, t drengine.Token) (drengine.Token, error)
}

func newFleet(length int, addrs ...string) *fakeFleet {
	f := &fakeFleet{length: length, engines: make(map[string]*fakeEngine)}
	for _, a := range addrs {
		f.engines[a] = &fakeEngine{fleet: f, addr: a, instance: 1, gens: map[string]drengine.Generation{}}
	}
	return f
}

func (f *fakeFleet) Engine(a string) drengine.Engine { return f.engines[a] }

func (f *fakeFleet) Runners(string, string) []Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Runner
	for a, e := range f.engines {
		if f.hidden[a] {
			continue
		}
		out = append(out, Runner{Address: a, Zone: "z", Instance: fmt.Sprint(e.instance), Capacity: 8, Leaving: e.leaving})
	}
	return out
}

func (f *fakeFleet) Wake(context.Context, string, string, time.Time) (Runner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakes++
	if e := f.engines[f.woken]; e != nil {
		return Runner{Address: f.woken, Instance: fmt.Sprint(e.instance)}, nil
	}
	return Runner{}, drerror.New(drerror.NotRun, drerror.NoCapacity, "no runner")
}

type fakeEngine struct {
	drengine.Engine
	fleet     *fakeFleet
	addr      string
	instance  int
	leaving   bool
	hung      bool  // neither answers nor closes connections
	refuse    error // of Generate
	gens      map[string]drengine.Generation
	dispatch  int
	cancelled int
	events    chan []drengine.CacheEvent
}

func (e *fakeEngine) State(context.Context, uint64, uint64, time.Duration) (drengine.State, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.hung {
		return drengine.State{}, drerror.New(drerror.NotRun, drerror.Unavailable, "no answer")
	}
	st := drengine.State{Instance: fmt.Sprint(e.instance)}
	if !e.fleet.hidden[e.addr] {
		st.Replicas = []drengine.Replica{{ID: "1", Model: "m", State: drengine.Loaded}}
	}
	return st, nil
}

func (e *fakeEngine) Generate(_ context.Context, g drengine.Generation) (drengine.TokenStream, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.refuse != nil {
		return nil, e.refuse
	}
	e.dispatch++
	e.gens[g.ID] = g
	return &fakeStream{engine: e, gen: g, instance: e.instance, at: len(g.Prefix), end: make(chan struct{})}, nil
}

func (e *fakeEngine) Resume(_ context.Context, id string, from int) (drengine.TokenStream, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	g, ok := e.gens[id]
	if !ok || e.hung {
		return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "no such generation")
	}
	return &fakeStream{engine: e, gen: g, instance: e.instance, at: from, end: make(chan struct{})}, nil
}

func (e *fakeEngine) Cancel(context.Context, string) error {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.cancelled++
	return nil
}

func (e *fakeEngine) CacheEvents(ctx context.Context, _ uint64, _ time.Duration) ([]drengine.CacheEvent, error) {
	select {
	case es := <-e.events:
		return es, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// crash restarts the engine process. The fleet's lock is held.
func (e *fakeEngine) crash() {
	e.instance++
	e.gens = map[string]drengine.Generation{}
	e.fleet.crashes++
}

type fakeStream struct {
	engine   *fakeEngine
	gen      drengine.Generation
	instance int
	at       int
	closed   bool
	end      chan struct{}
}

func (s *fakeStream) Next() (drengine.Token, error) {
	f := s.engine.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.engine.hung {
		f.mu.Unlock()
		<-s.end
		f.mu.Lock()
	}
	if f.poison != "" && s.gen.Prompt == f.poison && s.at > 0 && s.instance == s.engine.instance {
		s.engine.crash()
	}
	if s.closed || s.instance != s.engine.instance {
		return drengine.Token{}, errors.New("connection reset")
	}
	if s.at > f.length {
		return drengine.Token{}, io.EOF
	}
	t := drengine.Token{Index: s.at, Text: fmt.Sprintf("t%d ", s.at)}
	if s.at == f.length {
		t = drengine.Token{Done: true, FinishReason: "stop", PromptTokens: 3, CompletionTokens: s.at}
	}
	if f.edit != nil {
		var err error
		if t, err = f.edit(s.engine, t); err != nil {
			return t, err
		}
	}
	s.at++
	return t, nil
}

func (s *fakeStream) Close() error {
	s.engine.fleet.mu.Lock()
	defer s.engine.fleet.mu.Unlock()
	if !s.closed {
		close(s.end)
	}
	s.closed = true
	return nil
}

// network delivers notices between the Suspects of several VMs.
type network struct {
	mu  sync.Mutex
	vms []*Suspects
}

func (n *network) Broadcast(_ context.Context, x Notice) error {
	n.mu.Lock()
	vms := n.vms
	n.mu.Unlock()
	for _, s := range vms {
		if s.vm != x.VM {
			s.Observe(x)
		}
	}
	return nil
}

func (n *network) join(c drclock.Clock, vm string) *Suspects {
	s := NewSuspects(c, vm, n)
	n.mu.Lock()
	n.vms = append(n.vms, s)
	n.mu.Unlock()
	return s
}

func newRouter(f *fakeFleet, s *Suspects) *Router {
	return New(Config{
		Clock: drclock.System{}, Zone: "z", Residency: f, Engines: f, Waker: f, Suspects: s, Recorder: drtimeline.Discard{},
	})
}

func soleRouter(f *fakeFleet) *Router {
	return newRouter(f, (&network{}).join(drclock.System{}, "vm-1"))
}

// collect reads a whole generation.
func collect(ctx context.Context, r *Router, id, prompt string) (string, error) {
	s, err := r.Generate(ctx, Request{ID: id, Account: "a", Model: "m", Prompt: prompt, MaxTokens: 100})
	if err != nil {
		return "", err
	}
	defer s.Close()
	text := ""
	for {
		t, err := s.Next()
		if err != nil {
			return text, err
		}
		if t.Done {
			return text, nil
		}
		text += t.Text
	}
}
