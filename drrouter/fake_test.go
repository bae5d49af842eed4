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
	mu             sync.Mutex
	length         int // tokens of each generation
	engines        map[string]*fakeEngine
	crashingPrompt string // prompt that crashes an engine at its second token
	crashes        int
	unloaded       map[string]bool // engines without the model
	wakeAddress    string          // address that a wake-up gives, none if empty
	wakeCount      int
	// editToken may replace or break a token as the engine sends it.
	editToken func(e *fakeEngine, t drengine.Token) (drengine.Token, error)
}

func newFleet(length int, addrs ...string) *fakeFleet {
	f := &fakeFleet{length: length, engines: make(map[string]*fakeEngine)}
	for _, a := range addrs {
		f.engines[a] = &fakeEngine{fleet: f, address: a, instance: 1, generations: map[string]drengine.Generation{}}
	}
	return f
}

func (f *fakeFleet) Engine(address string) drengine.Engine { return f.engines[address] }

func (f *fakeFleet) Runners(string, string) []Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Runner
	for a, e := range f.engines {
		if f.unloaded[a] {
			continue
		}
		out = append(out, Runner{Address: a, Zone: "z", Instance: fmt.Sprint(e.instance), Capacity: 8, Leaving: e.leaving})
	}
	return out
}

func (f *fakeFleet) Wake(context.Context, string, string, time.Time) (Runner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakeCount++
	if e := f.engines[f.wakeAddress]; e != nil {
		return Runner{Address: f.wakeAddress, Instance: fmt.Sprint(e.instance)}, nil
	}
	return Runner{}, drerror.New(drerror.NotRun, drerror.NoCapacity, "no runner")
}

type fakeEngine struct {
	drengine.Engine
	fleet       *fakeFleet
	address     string
	instance    int
	leaving     bool
	hung        bool  // neither answers nor closes connections
	generateErr error // of Generate
	generations map[string]drengine.Generation
	dispatched  int
	cancelled   int
	events      chan []drengine.CacheEvent
}

func (e *fakeEngine) State(context.Context, uint64, uint64, time.Duration) (drengine.State, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.hung {
		return drengine.State{}, drerror.New(drerror.NotRun, drerror.Unavailable, "no answer")
	}
	st := drengine.State{Instance: fmt.Sprint(e.instance)}
	if !e.fleet.unloaded[e.address] {
		st.Replicas = []drengine.Replica{{ID: "1", Model: "m", State: drengine.Loaded}}
	}
	return st, nil
}

func (e *fakeEngine) Generate(_ context.Context, generation drengine.Generation) (drengine.TokenStream, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.generateErr != nil {
		return nil, e.generateErr
	}
	e.dispatched++
	e.generations[generation.ID] = generation
	return &fakeStream{engine: e, generation: generation, instance: e.instance, nextIndex: len(generation.Prefix), closing: make(chan struct{})}, nil
}

func (e *fakeEngine) Resume(_ context.Context, id string, from int) (drengine.TokenStream, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	g, ok := e.generations[id]
	if !ok || e.hung {
		return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "no such generation")
	}
	return &fakeStream{engine: e, generation: g, instance: e.instance, nextIndex: from, closing: make(chan struct{})}, nil
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
	e.generations = map[string]drengine.Generation{}
	e.fleet.crashes++
}

type fakeStream struct {
	engine     *fakeEngine
	generation drengine.Generation
	instance   int
	nextIndex  int
	closed     bool
	closing    chan struct{}
}

func (s *fakeStream) Next() (drengine.Token, error) {
	f := s.engine.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.engine.hung {
		f.mu.Unlock()
		<-s.closing
		f.mu.Lock()
	}
	if f.crashingPrompt != "" && s.generation.Prompt == f.crashingPrompt && s.nextIndex > 0 && s.instance == s.engine.instance {
		s.engine.crash()
	}
	if s.closed || s.instance != s.engine.instance {
		return drengine.Token{}, errors.New("connection reset")
	}
	if s.nextIndex > f.length {
		return drengine.Token{}, io.EOF
	}
	t := drengine.Token{Index: s.nextIndex, Text: fmt.Sprintf("t%d ", s.nextIndex)}
	if s.nextIndex == f.length {
		t = drengine.Token{Done: true, FinishReason: "stop", PromptTokens: 3, CompletionTokens: s.nextIndex}
	}
	if f.editToken != nil {
		var err error
		if t, err = f.editToken(s.engine, t); err != nil {
			return t, err
		}
	}
	s.nextIndex++
	return t, nil
}

func (s *fakeStream) Close() error {
	s.engine.fleet.mu.Lock()
	defer s.engine.fleet.mu.Unlock()
	if !s.closed {
		close(s.closing)
	}
	s.closed = true
	return nil
}

// network delivers notices between the Suspects of several VMs.
type network struct {
	mu  sync.Mutex
	vms []*Suspects
}

func (n *network) Broadcast(_ context.Context, notice Notice) error {
	n.mu.Lock()
	vms := n.vms
	n.mu.Unlock()
	for _, s := range vms {
		if s.vm != notice.VM {
			s.Observe(notice)
		}
	}
	return nil
}

func (n *network) addVM(clock drclock.Clock, vm string) *Suspects {
	s := NewSuspects(clock, vm, n)
	n.mu.Lock()
	n.vms = append(n.vms, s)
	n.mu.Unlock()
	return s
}

func newRouter(fleet *fakeFleet, suspects *Suspects) *Router {
	return New(Config{
		Clock: drclock.System{}, Zone: "z", Residency: fleet, Engines: fleet, Waker: fleet, Suspects: suspects, Recorder: drtimeline.Discard{},
	})
}

func newSingleVMRouter(fleet *fakeFleet) *Router {
	return newRouter(fleet, (&network{}).addVM(drclock.System{}, "vm-1"))
}

// generateText reads a whole generation.
func generateText(ctx context.Context, router *Router, id, prompt string) (string, error) {
	s, err := router.Generate(ctx, Request{ID: id, Account: "a", Model: "m", Prompt: prompt, MaxTokens: 100})
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
