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

// fakeFleet is a set of engines that produce the same tokens for every prompt:
// "t0 ", "t1 " and so on. It also acts as Residency, Engines and Waker of a
// Router. mu guards the fields of the fleet and of its engines and streams.
type fakeFleet struct {
	mu             sync.Mutex
	length         int // tokens of each generation
	engines        map[string]*fakeEngine
	crashingPrompt string          // crashes an engine at its second token; none if empty
	crashes        int             // crashes of all engines so far
	unloaded       map[string]bool // engines without the model, by address
	wakeAddress    string          // engine that Wake returns; Wake fails if empty
	wakeCount      int             // calls of Wake
	// editToken, unless nil, may replace a token that an engine sends, or break
	// the stream with an error. It is called with mu held.
	editToken func(e *fakeEngine, t drengine.Token) (drengine.Token, error)
}

// newFleet returns engines at the addresses, whose generations are length
// tokens long.
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

// fakeEngine is an engine of a fakeFleet with the model "m".
type fakeEngine struct {
	drengine.Engine
	fleet       *fakeFleet
	address     string
	instance    int // number of the engine process; a crash increments it
	leaving     bool
	hung        bool                           // neither responds nor closes connections
	generateErr error                          // returned by Generate unless nil
	generations map[string]drengine.Generation // by id; lost in a crash
	dispatched  int                            // accepted calls of Generate
	cancelled   int                            // calls of Cancel
	events      chan []drengine.CacheEvent     // cache events, a batch for each poll
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

// crash replaces the engine process, which loses its generations. The caller
// holds the mu of the fleet.
func (e *fakeEngine) crash() {
	e.instance++
	e.generations = map[string]drengine.Generation{}
	e.fleet.crashes++
}

// fakeStream is a connection to a fakeEngine that delivers the tokens of one
// generation.
type fakeStream struct {
	engine     *fakeEngine
	generation drengine.Generation
	instance   int // of the engine when the stream was opened
	nextIndex  int
	closed     bool
	closing    chan struct{} // closed by Close, to end a Next on a hung engine
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

// network delivers notices at once between the Suspects of several VMs.
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

// addVM returns the Suspects of a new VM on the network.
func (n *network) addVM(clock drclock.Clock, vm string) *Suspects {
	s := NewSuspects(clock, vm, n)
	n.mu.Lock()
	n.vms = append(n.vms, s)
	n.mu.Unlock()
	return s
}

// newRouter returns a Router in zone "z", that of all runners of the fleet.
func newRouter(fleet *fakeFleet, suspects *Suspects) *Router {
	return New(Config{
		Clock: drclock.System{}, Zone: "z", Residency: fleet, Engines: fleet, Waker: fleet, Suspects: suspects, Recorder: drtimeline.Discard{},
	})
}

// newSingleVMRouter returns a Router for a system with only one entry VM.
func newSingleVMRouter(fleet *fakeFleet) *Router {
	return newRouter(fleet, (&network{}).addVM(drclock.System{}, "vm-1"))
}

// generateText runs a generation of the model "m" and returns the text of its
// tokens. On failure it returns the text so far and the error.
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
