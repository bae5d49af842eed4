package drrouter

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// expectedText returns the text of a complete generation of length tokens by a
// fakeFleet.
func expectedText(length int) string {
	var b strings.Builder
	for i := range length {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// Guards against lost, repeated or foreign tokens when a stream breaks at any
// index. The engine keeps the generation ("reset") or loses it ("crash"), or
// sends a token again ("late"), skips one ("early"), sends one of another
// generation ("crossed") or a wrong final line ("cut short").
func TestBrokenStreamContinuesExactly(t *testing.T) {
	const length = 12
	faults := map[string]func(e *fakeEngine, t drengine.Token) (drengine.Token, error){
		"reset": func(_ *fakeEngine, t drengine.Token) (drengine.Token, error) { return t, errors.New("reset") },
		"crash": func(e *fakeEngine, t drengine.Token) (drengine.Token, error) {
			e.crash()
			return t, errors.New("reset")
		},
		"late": func(_ *fakeEngine, t drengine.Token) (drengine.Token, error) { t.Index--; return t, nil },
		"early": func(_ *fakeEngine, t drengine.Token) (drengine.Token, error) {
			return drengine.Token{Index: t.Index + 1, Text: fmt.Sprintf("t%d ", t.Index+1)}, nil
		},
		"crossed": func(*fakeEngine, drengine.Token) (drengine.Token, error) {
			return drengine.Token{Index: 0, Text: "foreign"}, nil
		},
		"cut short": func(*fakeEngine, drengine.Token) (drengine.Token, error) {
			return drengine.Token{Done: true, CompletionTokens: length + 7}, nil
		},
	}
	for name, fault := range faults {
		for failAt := range length + 1 {
			t.Run(fmt.Sprintf("%s at %d", name, failAt), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(length, "e1", "e2")
				tokensSent, broken := 0, false
				f.editToken = func(e *fakeEngine, tok drengine.Token) (drengine.Token, error) {
					if tokensSent++; tokensSent == failAt+1 && !broken {
						broken = true
						if name != "early" && name != "late" || !tok.Done {
							return fault(e, tok)
						}
					}
					return tok, nil
				}
				if name == "crossed" && failAt == 0 {
					return // token 0 cannot be told from a foreign token 0
				}
				text, err := generateText(context.Background(), newSingleVMRouter(f), "g", "p")
				is.NoErr(err)
				is.Equal(text, expectedText(length))
			})
		}
	}
}

// Guards against requests to draining runners (invariant I11), and against
// failing a request that an engine refused without running it while another
// engine is free.
func TestGenerateAvoidsLeavingAndRefusingRunners(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, "e1", "e2", "e3")
	f.engines["e1"].leaving = true
	f.engines["e2"].generateErr = drerror.New(drerror.NotRun, drerror.NoCapacity, "full")
	r := newSingleVMRouter(f)
	for i := range 5 {
		text, err := generateText(context.Background(), r, fmt.Sprint("g", i), "p")
		is.NoErr(err)
		is.Equal(text, expectedText(2))
	}
	is.Equal(f.engines["e1"].dispatched, 0)
	is.Equal(f.engines["e3"].dispatched, 5)

	f.engines["e3"].leaving = true
	_, err := generateText(context.Background(), r, "last", "p")
	is.Equal(drerror.VerdictOf(err), drerror.NotRun) // nothing ran, so the verdict must be "not run" (invariant I9)
}

// Guards against a cancelled request that keeps its engine busy or its dispatch
// slot taken.
func TestCancelReachesTheEngine(t *testing.T) {
	is := is.New(t)
	f := newFleet(50, "e1")
	r := newSingleVMRouter(f)
	ctx, cancel := context.WithCancelCause(context.Background())
	s, err := r.Generate(ctx, Request{ID: "g", Model: "m", MaxTokens: 100})
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	cancel(drerror.New(drerror.MayHaveRun, drerror.CallerGone, "gone"))
	for err == nil {
		_, err = s.Next()
	}
	is.Equal(drerror.ReasonOf(err), drerror.CallerGone)
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
	is.NoErr(s.Close())
	is.Equal(f.engines["e1"].cancelled, 1)
	is.Equal(r.windows.byAddr["e1"].inflight, 0)
}

// Guards against a request that crashes more than two servers because its
// caller resends it through other VMs, and against refusing innocent requests
// that were running on the same servers.
func TestPoisonStopsAfterTwoCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, "e1", "e2", "e3", "e4")
	f.crashingPrompt = "poison"
	n := &network{}
	var routers []*Router
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		s := n.addVM(drclock.System{}, vm)
		defer s.Close()
		routers = append(routers, newRouter(f, s))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			text, err := generateText(ctx, routers[i%3], fmt.Sprint("g", i), fmt.Sprint("innocent", i))
			if err != nil || text != expectedText(20) {
				t.Errorf("innocent request %d: %v", i, err)
			}
		})
	}
	for i := range 3 { // the caller resends through other VMs
		_, err := generateText(ctx, routers[i], fmt.Sprint("p", i), "poison")
		is.Equal(drerror.ReasonOf(err), drerror.CrashesBackend)
		is.Equal(drerror.VerdictOf(err), drerror.Ran)
	}
	wg.Wait()
	is.Equal(f.crashes, 2)
}

// Guards against retries that multiply the load when every server fails.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	c := drclock.NewFake(time.Unix(0, 0))
	b := newBudget(c)
	retries := 0
	for range 1000 {
		b.Request()
		if b.Retry() {
			retries++
		}
	}
	is.True(retries <= 100+retryBurst)
	is.True(!b.Retry())
	c.Advance(time.Second)
	is.True(b.Retry())
}

// Guards against an ejector that takes all servers of a fleet out of rotation,
// or never puts an ejected server back.
func TestEjectionSparesHalfAndExpires(t *testing.T) {
	is := is.New(t)
	c := drclock.NewFake(time.Unix(0, 0))
	e := NewEjector(c)
	fleet := []string{"a", "b", "c", "d", "e"}
	fail := func(address string, times int) {
		for range times {
			e.Failure(address)
		}
	}
	for _, a := range fleet {
		fail(a, ejectThreshold)
	}
	is.Equal(len(e.Usable(fleet)), 3)
	is.Equal(len(e.Usable(fleet[:1])), 1)
	c.Advance(minEjection)
	is.Equal(len(e.Usable(fleet)), 5)
	fail("a", 1)
	c.Advance(minEjection)
	is.Equal(len(e.Usable(fleet)), 4) // the second period is twice as long
	c.Advance(minEjection)
	for range 10 {
		fail("a", 1)
		c.Advance(maxEjection)
		is.Equal(len(e.Usable(fleet)), 5)
	}
	e.Success("a")
	fail("a", ejectThreshold-1)
	is.Equal(len(e.Usable(fleet)), 5)
}

// Guards against a dispatch window that ignores the engine's reports.
func TestWindowFollowsReports(t *testing.T) {
	is := is.New(t)
	w := newWindows(nil)
	r := Runner{Address: "e", Capacity: 16, Version: 1}
	limit := func() int { return w.limit(r) }
	is.Equal(limit(), 16)
	r.Version, r.Waiting = 2, 3
	is.Equal(limit(), 8)
	is.Equal(limit(), 8) // the same report must not shrink the window again
	r.Version, r.Waiting = 3, 0
	is.Equal(limit(), 9)
	for w.acquire(r) {
	}
	is.Equal(w.byAddr["e"].inflight, 9)
}

// Guards against a window that grows without being used, or beyond the batch of
// the engine. The burst of one account would then queue in the engine, which is
// not fair.
func TestUnusedWindowStaysSmall(t *testing.T) {
	is := is.New(t)
	w := newWindows(func() int { return 4 })
	r := Runner{Address: "e", Capacity: 64, Version: 1}
	is.Equal(w.limit(r), 16)
	for range 100 {
		r.Version++
		is.Equal(w.limit(r), 16)
	}
	for range 100 {
		for w.acquire(r) {
		}
		r.Version++
		r.Running = w.byAddr["e"].inflight
		is.True(w.limit(r) <= 64)
	}
	is.Equal(w.limit(r), 64) // one VM may fill the batch of an idle runner
	r.Version++
	r.Running, r.Waiting = 64, 64 // other VMs have as many requests in flight
	is.Equal(w.limit(r), 32)
}

// Guards against stale prefix blocks after cache events were lost, and against
// unbounded memory for the blocks of one engine.
func TestPrefixesDropOnGap(t *testing.T) {
	is := is.New(t)
	p := newPrefixes()
	p.maxBlocks = 4
	blocks := promptBlocks(strings.Repeat("x", 3*drengine.PrefixBlock+7))
	is.Equal(len(blocks), 3)
	p.apply("e", []drengine.CacheEvent{{Seq: 1, Model: "m", Added: blocks}})
	is.Equal(p.cachedShare("e", "m", blocks), 1.0)
	is.Equal(p.cachedShare("e", "other", blocks), 0.0)
	p.apply("e", []drengine.CacheEvent{{Seq: 2, Model: "m", Evicted: blocks[1:2]}})
	is.True(p.cachedShare("e", "m", blocks) < 0.5)
	p.apply("e", []drengine.CacheEvent{{Seq: 4, Model: "m", Added: []uint64{9}}})
	is.Equal(p.cachedShare("e", "m", blocks), 0.0)
	p.apply("e", []drengine.CacheEvent{{Seq: 5, Model: "m", Added: []uint64{1, 2, 3, 4, 5, 6}}})
	is.True(len(p.byAddress["e"].blocks) <= 4)
}

// Guards against prefix blocks that are kept after the cache events of their
// engine are no longer followed.
func TestFollowCache(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, "e1")
	f.engines["e1"].events = make(chan []drengine.CacheEvent)
	r := newSingleVMRouter(f)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.FollowCache(ctx, "e1"); close(done) }()
	blocks := promptBlocks(strings.Repeat("x", drengine.PrefixBlock))
	f.engines["e1"].events <- []drengine.CacheEvent{{Seq: 1, Model: "m", Added: blocks}}
	f.engines["e1"].events <- nil // received only after the first batch was applied
	is.Equal(r.prefixes.cachedShare("e1", "m", blocks), 1.0)
	cancel()
	<-done
	is.Equal(r.prefixes.cachedShare("e1", "m", blocks), 0.0)
}

// Guards against a stream that waits until its deadline for an engine whose VM
// was reclaimed: the connection stays open, and no more tokens arrive.
func TestSilentEngineIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, "e1", "e2")
	f.editToken = func(e *fakeEngine, t drengine.Token) (drengine.Token, error) {
		if t.Index == 2 && !f.engines["e1"].hung && !f.engines["e2"].hung {
			e.hung = true
		}
		return t, nil
	}
	c := drclock.NewFake(time.Unix(0, 0))
	r := newRouter(f, (&network{}).addVM(c, "vm-1"))
	r.Clock = c
	done := make(chan struct{})
	go func() {
		defer close(done)
		text, err := generateText(context.Background(), r, "g", "p")
		is.NoErr(err)
		is.Equal(text, expectedText(6))
	}()
	for range 10 * maxFailedProbes {
		select {
		case <-done:
		case <-time.After(5 * time.Millisecond):
			c.Advance(stallCheckInterval)
		}
	}
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the stream still waits for the hung engine")
	}
}

// Guards against more requests on a runner than its window allows, and against
// requests that wait for a dispatch slot beyond their deadline or fail with a
// wrong verdict (invariants I3 and I9).
func TestFullRunnerMakesRequestsWait(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, "e1")
	r := newSingleVMRouter(f)
	q := Request{ID: "g", Model: "m", MaxTokens: 100}
	var streams []*Stream
	for range r.DispatchSlots("m", "") {
		s, err := r.Generate(context.Background(), q)
		is.NoErr(err)
		streams = append(streams, s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := r.Generate(ctx, q)
	is.Equal(drerror.VerdictOf(err), drerror.NotRun)
	is.Equal(drerror.ReasonOf(err), drerror.Deadline)
	go streams[0].Close()
	s, err := r.Generate(context.Background(), q)
	is.NoErr(err)
	for _, x := range append(streams[1:], s) {
		is.NoErr(x.Close())
	}
}

// Guards against failing a request after the only replica of its model crashed,
// although the model can be loaded on another engine.
func TestLostReplicaIsWokenAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, "e1", "e2")
	f.unloaded = map[string]bool{"e2": true}
	f.editToken = func(e *fakeEngine, t drengine.Token) (drengine.Token, error) {
		if e.address == "e1" && t.Index == 3 {
			e.crash()
			f.unloaded["e1"] = true
			f.wakeAddress = "e2"
			return t, errors.New("reset")
		}
		return t, nil
	}
	text, err := generateText(context.Background(), newSingleVMRouter(f), "g", "p")
	is.NoErr(err)
	is.Equal(text, expectedText(6))
	is.Equal(f.wakeCount, 1)
}

// Guards against blocking an innocent request because the engine on which it
// was running, the only one with its model, crashes and stays down. The failed
// attempts to reach it must not count as further crashes.
func TestDownEngineIsNoSecondCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, "e1")
	f.wakeAddress = "e1"
	f.editToken = func(e *fakeEngine, t drengine.Token) (drengine.Token, error) {
		if t.Index == 3 {
			e.crash()
			e.hung, e.generateErr = true, drerror.New(drerror.MayHaveRun, drerror.BackendFailed, "connection reset")
			return t, errors.New("reset")
		}
		return t, nil
	}
	r := newSingleVMRouter(f)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := generateText(ctx, r, "g", "p")
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
	is.NoErr(r.Suspects.Check(Request{Account: "a", Model: "m", Prompt: "p", MaxTokens: 100}.fingerprint()))
}

// Guards against a request that uses up its attempts while the only engine with
// its model restarts and loads the model, although its deadline is far away.
func TestRequestWaitsForRestartedEngine(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, "e1")
	f.wakeAddress, f.unloaded = "e1", map[string]bool{}
	broken := false
	f.editToken = func(e *fakeEngine, t drengine.Token) (drengine.Token, error) {
		if t.Index != 3 || broken {
			return t, nil
		}
		broken = true
		e.crash()
		e.hung, f.unloaded["e1"] = true, true
		e.generateErr = drerror.New(drerror.MayHaveRun, drerror.BackendFailed, "connection reset")
		time.AfterFunc(time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			e.hung, e.generateErr, f.unloaded["e1"] = false, nil, false
		})
		return t, errors.New("reset")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	text, err := generateText(ctx, newSingleVMRouter(f), "g", "p")
	is.NoErr(err)
	is.Equal(text, expectedText(6))
}

// Guards against telling a caller that a model does not exist when engines have
// just evicted it.
func TestEvictedModelIsNotUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, "e1")
	f.wakeAddress = "e1"
	f.engines["e1"].generateErr = drerror.New(drerror.NotRun, drerror.UnknownModel, "model m is not loaded")
	_, err := generateText(context.Background(), newSingleVMRouter(f), "g", "p")
	is.Equal(drerror.VerdictOf(err), drerror.NotRun)
	is.Equal(drerror.ReasonOf(err), drerror.NoCapacity)
}

// BenchmarkGenerate measures the cost of the router for a request of 100
// tokens.
func BenchmarkGenerate(b *testing.B) {
	r := newSingleVMRouter(newFleet(100, "e1", "e2", "e3"))
	for i := range b.N {
		if _, err := generateText(context.Background(), r, fmt.Sprint(i), "prompt"); err != nil {
			b.Fatal(err)
		}
	}
}
