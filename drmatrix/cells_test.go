package drmatrix

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drserve"
)

// scenario runs one step of a protocol with a fault.
type scenario struct {
	protocol, step string
	run            func(s *system, f fault)
	// excludedColumns lists the faults for which table.go names another test
	// or a reason.
	excludedColumns []string
}

var scenarios = []scenario{
	{"configuration change", "before append", changeBeforeAppend, []string{"key withdrawn", "weight store slow", "poison request"}},
	{"configuration change", "before in force", changeBeforeInForce, []string{"key withdrawn", "weight store slow", "poison request"}},
	{"load", "before order", loadWithFaultAfter(0), nil},
	{"load", "mid-load", loadWithFaultAfter(400 * time.Millisecond), nil},
	{"keyed call", "before intent", callBeforeIntent, nil},
	{"keyed call", "dispatched", callWhenDispatched, nil},
	{"stream", "before first token", streamWithFaultAtToken(0), nil},
	{"stream", "mid-stream", streamWithFaultAtToken(30), nil},
	{"stream", "last token", streamWithFaultAtToken(streamTokens - 1), nil},
	{"drain", "notice", drainWithFaultAfter(0), []string{"process death", "VM reclaimed"}},
	{"drain", "streams running", drainWithFaultAfter(300 * time.Millisecond), []string{"process death", "VM reclaimed"}},
	{"join", "join", joinDuringFault, nil},
	{"key withdrawal", "withdrawal", withdrawKeyDuringFault, []string{"key withdrawn"}},
}

// parallelSystems is the most clusters that run at the same time.
const parallelSystems = 24

// Guards against protocols that break when a fault begins in one of their steps:
// a broken answer or that of another request, a false "not-run", a second
// execution of a keyed call, more replicas or memory than allowed, a key that
// works after its withdrawal, and a configuration change that is lost.
func TestCells(t *testing.T) {
	runCells(t, func(f fault) bool { return f.column != poisonColumn })
}

// Guards, in each step of the protocols, against a request that crashes more than
// two engines because it is retried, and against other requests that are refused
// or cut with it.
func TestPoisonRequest(t *testing.T) {
	runCells(t, func(f fault) bool { return f.column == poisonColumn })
}

const poisonColumn = "poison request"

func runCells(t *testing.T, selected func(fault) bool) {
	slots := make(chan struct{}, parallelSystems)
	for _, c := range scenarios {
		for _, f := range faults {
			if !selected(f) || slices.Contains(c.excludedColumns, f.column) {
				continue
			}
			name := strings.ReplaceAll(c.protocol+"/"+c.step+"/"+f.column, " ", "-")
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				s := newSystem(t, "fjordsnor")
				c.run(s, f)
				if err := s.checkEngines(); err != nil {
					t.Error(err)
				}
				s.closeAll()
			})
		}
	}
}

// expectWeightEverywhere waits until the configuration at offset is in force and
// checks that all live VMs have the same weight for the client account.
func (s *system) expectWeightEverywhere(offset uint64, name string, weight int) {
	s.t.Helper()
	s.awaitInForce(offset)
	for _, v := range s.live() {
		if w := s.accountWeight(v, name); w != weight {
			s.t.Errorf("%s has weight %d, want %d", v.Settings.VM, w, weight)
		}
	}
}

func changeBeforeAppend(s *system, f fault) {
	c := s.newAccountChange("changed", 7, s.configOffset())
	awaitHeal := f.start(s, s.VMs()[0])
	r := s.submit(s.live()[0], c)
	awaitHeal()
	if again := s.submit(s.live()[0], c); !r.Accepted || again.Offset != r.Offset {
		s.t.Errorf("one change, submitted twice, has the results %+v and %+v", r, again)
	}
	s.expectWeightEverywhere(r.Offset, "changed", 7)
}

func changeBeforeInForce(s *system, f fault) {
	c := s.newAccountChange("changed", 7, s.configOffset())
	r := s.submit(s.VMs()[0], c)
	awaitHeal := f.start(s, s.VMs()[2])
	awaitHeal()
	if !r.Accepted {
		s.t.Errorf("rejected: %v", r.Problems)
	}
	s.expectWeightEverywhere(r.Offset, "changed", 7)
}

const (
	streamTokens   = 60
	requestTimeout = 20 * time.Second
)

// allowsPartialAnswer reports whether the fault may keep a caller of vm from a
// complete answer.
func (f fault) allowsPartialAnswer(vm, subject *drserve.VM) bool {
	switch f.column {
	case "key withdrawn":
		return true
	case "process death", "VM reclaimed", "zone partition":
		return vm == subject
	}
	return false
}

// streamAll requests a streamed completion from each VM and checks the answers.
// hook is called after each token of the first VM's answer with the number of
// tokens so far.
func (s *system) streamAll(f fault, vms []*drserve.VM, subject *drserve.VM, model string, hook func(int)) {
	var all sync.WaitGroup
	for i, v := range vms {
		all.Go(func() {
			h := hook
			if i > 0 {
				h = nil
			}
			prompt := fmt.Sprintf("prompt %d", i)
			a := streamCompletion(v, callerKey, model, prompt, streamTokens, requestTimeout, h)
			if err := a.checkCompletion(model, prompt, streamTokens); err != nil {
				s.t.Errorf("%s: %v", v.Settings.VM, err)
			}
			if !a.done && !f.allowsPartialAnswer(v, subject) {
				s.t.Errorf("%s: incomplete answer: status=%d run=%s reason=%s tokens=%d err=%v", v.Settings.VM, a.status, a.run, a.reason, a.tokens, a.err)
			}
		})
	}
	all.Wait()
}

func streamWithFaultAtToken(token int) func(*system, fault) {
	return func(s *system, f fault) {
		model, subject := s.pickModel(false), s.VMs()[2]
		warm := streamCompletion(s.VMs()[0], callerKey, model, "warm", 4, requestTimeout, nil)
		if err := warm.checkCompletion(model, "warm", 4); err != nil || !warm.done {
			s.t.Fatalf("first request: %+v %v", warm, err)
		}
		var once sync.Once
		var injected sync.WaitGroup
		inject := func() { once.Do(func() { injected.Go(func() { f.start(s, subject)() }) }) }
		if token == 0 {
			inject()
		}
		s.streamAll(f, s.VMs(), subject, model, func(n int) {
			if n == token {
				inject()
			}
		})
		injected.Wait()
	}
}

func loadWithFaultAfter(after time.Duration) func(*system, fault) {
	return func(s *system, f fault) {
		subject := s.VMs()[2]
		var injected sync.WaitGroup
		injected.Go(func() {
			time.Sleep(after)
			f.start(s, subject)()
		})
		s.streamAll(f, s.VMs(), subject, s.pickModel(true), nil)
		injected.Wait()
	}
}

// resendAndCheck sends the keyed call again through another VM. It checks that the
// call was executed at most once, not at all if it was refused as not-run, and
// that a second answer is marked as a replay.
func (s *system) resendAndCheck(key string, first answer) {
	s.t.Helper()
	if first.saysNotRun() && s.executions(key) > 0 {
		s.t.Errorf("refusal %q says not-run after an execution", first.reason)
	}
	vms := s.live()
	again := callService(vms[len(vms)-1], "/bookings", callerKey, key, 5*time.Second)
	if n := s.executions(key); n > 1 {
		s.t.Errorf("the keyed call was executed %d times", n)
	}
	if first.status == 200 && again.status == 200 && !again.replayed {
		s.t.Error("the second answer is not marked as replayed")
	}
	s.t.Logf("first: %d %s %s; again: %d %s %s; executions %d", first.status, first.run, first.reason, again.status, again.run, again.reason, s.executions(key))
}

func callBeforeIntent(s *system, f fault) {
	subject := s.VMs()[0]
	awaitHeal := f.start(s, subject)
	a := callService(subject, "/bookings", callerKey, "key-before", 5*time.Second)
	awaitHeal()
	s.resendAndCheck("key-before", a)
}

func callWhenDispatched(s *system, f fault) {
	subject := s.VMs()[0]
	result := make(chan answer)
	go func() { result <- callService(subject, "/bookings", callerKey, "key-dispatched", 5*time.Second) }()
	s.waitFor(5*time.Second, "an execution", func() bool { return s.executions("key-dispatched") == 1 })
	awaitHeal := f.start(s, subject)
	a := <-result
	awaitHeal()
	s.resendAndCheck("key-dispatched", a)
}

func drainWithFaultAfter(after time.Duration) func(*system, fault) {
	return func(s *system, f fault) {
		leaving, subject, model := s.VMs()[0], s.VMs()[2], s.pickModel(false)
		streamCompletion(leaving, callerKey, model, "warm", 4, requestTimeout, nil)
		var all sync.WaitGroup
		all.Go(func() { s.streamAll(f, []*drserve.VM{leaving}, subject, model, nil) })
		time.Sleep(100 * time.Millisecond)
		all.Go(func() {
			time.Sleep(after)
			f.start(s, subject)()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		err := leaving.Drain(ctx)
		s.mu.Lock()
		s.closed[leaving] = true
		s.mu.Unlock()
		if err != nil {
			s.t.Errorf("drain: %v", err)
		}
		all.Wait()
	}
}

func joinDuringFault(s *system, f fault) {
	subject := s.VMs()[2]
	awaitHeal := f.start(s, subject)
	v, err := s.Add(3)
	if err != nil {
		s.t.Fatal(err)
	}
	s.awaitReady(v, joinBound)
	if f.column != "key withdrawn" {
		s.streamAll(f, []*drserve.VM{v}, subject, s.pickModel(false), nil)
	}
	awaitHeal()
}

func withdrawKeyDuringFault(s *system, f fault) {
	subject := s.VMs()[2]
	c := s.keyDeletion("passasjer-app")
	model := s.pickModel(false)
	streamCompletion(s.VMs()[0], callerKey, model, "warm", 4, requestTimeout, nil)
	ends := make(chan time.Time, 1)
	go func() {
		a := streamCompletion(s.VMs()[1], callerKey, model, "long", 3000, 40*time.Second, nil)
		if a.done {
			s.t.Error("the stream was not cancelled")
		}
		ends <- a.ended
	}()
	time.Sleep(200 * time.Millisecond)
	awaitHeal := f.start(s, subject)
	r := s.submit(s.VMs()[0], c)
	accepted := time.Now()
	if !r.Accepted {
		s.t.Fatalf("rejected: %v", r.Problems)
	}
	if d := (<-ends).Sub(accepted); d > withdrawBound {
		s.t.Errorf("the stream ended %v after the withdrawal", d)
	}
	for _, v := range s.live() {
		cut := v == subject && f.column == "zone partition"
		if cut {
			awaitHeal()
		}
		s.waitFor(withdrawBound, "the key refused on "+v.Settings.VM, func() bool {
			return streamCompletion(v, callerKey, model, "after", 1, 5*time.Second, nil).status == 401
		})
	}
	awaitHeal()
}
