package dridempotency

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// result is what a caller of one request saw.
type result struct {
	key string
	// ran is the answer of the request's own execution, replayed that of an
	// earlier one.
	ran, replayed string
	err           error
}

// request sends a keyed call through a VM, as the gateway does. The second
// result is false if the VM died before it answered.
func (w *world) request(n *node, key string, timeout time.Duration, id string) (r result, answered bool) {
	r.key = key
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a, answer, err := n.once.Begin(ctx, Call{Account: "acme", Key: key, Fingerprint: []byte("f")})
	if !n.gate() {
		return r, false
	}
	if err != nil || answer != nil {
		r.err = err
		if answer != nil {
			r.replayed = string(answer.Body)
		}
		return r, true
	}
	if w.chance() {
		a.Abandon()
		if a.Start(ctx) == nil {
			panic("an abandoned attempt was started")
		}
		r.err = drerror.New(drerror.NotRun, drerror.CallerGone, "abandoned")
		return r, true
	}
	if r.err = a.Start(ctx); r.err != nil {
		return r, true
	}
	if !n.gate() {
		return r, false // died before it sent the call
	}
	if w.chance() {
		_ = a.Finish(ctx, Outcome{Verdict: drerror.NotRun})
		r.err = drerror.New(drerror.NotRun, drerror.Unavailable, "connection refused")
		return r, n.gate()
	}
	w.set(func() { w.runs[key]++ })
	r.ran = id
	time.Sleep(time.Duration(w.intN(300)) * time.Millisecond)
	if !n.gate() {
		return r, false // died after it sent the call
	}
	_ = a.Finish(ctx, Outcome{Verdict: drerror.Ran, Answer: &Answer{Status: 200, Body: []byte(id)}})
	return r, n.gate()
}

// model is the specification of one key: empty, or the answer of the only
// execution.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		m := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Output.(result).key
			m[k] = append(m[k], o)
		}
		var ps [][]porcupine.Operation
		for _, p := range m {
			ps = append(ps, p)
		}
		return ps
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		switch r := output.(result); {
		case r.ran != "":
			return state == "", r.ran
		case r.replayed != "":
			return state == r.replayed, state
		default:
			return true, state
		}
	},
}

// Guards against a second execution of a keyed call, and against a replay of
// anything but the execution's answer, under lost, late and repeated messages
// and appends, dead and paused VMs, and log outages.
func TestAtMostOnce(t *testing.T) {
	executed, replayed, refused := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.Float64Range(0, 0.2).Draw(rt, "faults")
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 8).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(4, seed)
			w.faults = faults
			var history []porcupine.Operation
			var clients sync.WaitGroup
			r := rand.New(rand.NewPCG(seed, 3))
			for c := range 24 {
				key, wait := fmt.Sprint("k", c%6), time.Duration(r.IntN(4000))*time.Millisecond
				vm, timeout := r.IntN(4), time.Duration(100+r.IntN(4000))*time.Millisecond
				clients.Go(func() {
					time.Sleep(wait)
					call := time.Now().UnixNano()
					res, answered := w.request(w.node(vm), key, timeout, fmt.Sprint("answer-", c))
					end := time.Now().UnixNano()
					if !answered {
						end = 1 << 62
					}
					if res.err != nil && drerror.Of(res.err) == drerror.NotRun && res.ran != "" {
						t.Errorf("not-run is false: %v", res.err)
					}
					w.set(func() {
						history = append(history, porcupine.Operation{ClientId: c, Call: call, Output: res, Return: end})
						executed += len(res.ran) / max(1, len(res.ran))
						replayed += len(res.replayed) / max(1, len(res.replayed))
						if res.err != nil {
							refused++
						}
					})
				})
			}
			for _, s := range steps {
				time.Sleep(400 * time.Millisecond)
				w.step(s)
			}
			w.set(func() { w.logDown = false })
			for i := range 4 {
				w.node(i).resume()
			}
			clients.Wait()
			for k, n := range w.runs {
				if n > 1 {
					t.Errorf("key %q ran %d times", k, n)
				}
			}
			if !porcupine.CheckOperations(model, history) {
				t.Errorf("history is not linearizable: %v", history)
			}
			w.close()
		})
	})
	t.Logf("%d executions, %d replays, %d refusals", executed, replayed, refused)
}

func (w *world) step(s int) {
	switch i := s % 4; {
	case s < 4:
		n := w.node(i)
		n.resume()
		n.pause()
		time.Sleep(1500 * time.Millisecond)
		n.resume()
	case s < 8:
		w.restart(i)
	default:
		w.set(func() { w.logDown = !w.logDown })
	}
}

// Guards against wrong reasons and verdicts, which callers act on.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(3, 1)
		defer w.close()
		begin := func(vm int, key, fingerprint string, timeout time.Duration) (*Attempt, *Answer, error) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return w.node(vm).once.Begin(ctx, Call{Account: "acme", Key: key, Fingerprint: []byte(fingerprint)})
		}
		refused := func(v drerror.Verdict, r drerror.Reason) func(*Attempt, *Answer, error) {
			return func(a *Attempt, answer *Answer, err error) {
				is.Helper()
				is.True(a == nil && answer == nil)
				is.Equal(drerror.ReasonOf(err), r)
				is.Equal(drerror.Of(err), v)
			}
		}
		a, _, err := begin(0, "k", "f", time.Second)
		is.NoErr(err)
		is.NoErr(a.Start(t.Context()))
		is.True(a.Start(t.Context()) != nil) // a second dispatch
		refused(drerror.MayHaveRun, drerror.CallInProgress)(begin(1, "k", "f", time.Second))
		refused(drerror.NotRun, drerror.KeyReused)(begin(1, "k", "g", time.Second))

		// A resend that waits gets the answer of the first attempt.
		time.AfterFunc(time.Second, func() {
			_ = a.Finish(context.Background(), Outcome{drerror.Ran, &Answer{Status: 201, Body: []byte("ok"), Headers: []Header{{"X", "y"}}}})
		})
		_, answer, err := begin(1, "k", "f", 5*time.Second)
		is.NoErr(err)
		is.Equal(*answer, Answer{Status: 201, Body: []byte("ok"), Headers: []Header{{"X", "y"}}})

		// Answers that are too large are not replayed.
		a, _, err = begin(0, "large", "f", time.Second)
		is.NoErr(err)
		is.NoErr(a.Start(t.Context()))
		is.NoErr(a.Finish(t.Context(), Outcome{drerror.Ran, &Answer{Status: 200, Body: make([]byte, MaxAnswer+1)}}))
		refused(drerror.Ran, drerror.OutcomeUnknown)(begin(2, "large", "f", time.Second))

		// An abandoned attempt frees the key and cannot be started.
		a, _, err = begin(0, "left", "f", time.Second)
		is.NoErr(err)
		a.Abandon()
		is.Equal(drerror.Of(a.Start(t.Context())), drerror.NotRun)
		_, _, err = begin(1, "left", "f", time.Second)
		is.NoErr(err)

		// A reservation that is too old is not dispatched.
		a, _, err = begin(0, "old", "f", time.Second)
		is.NoErr(err)
		time.Sleep(grantLifetime + time.Second)
		is.Equal(drerror.ReasonOf(a.Start(t.Context())), drerror.Deadline)

		// A dispatcher that died may have run the call.
		a, _, err = begin(2, "died", "f", time.Second)
		is.NoErr(err)
		is.NoErr(a.Start(t.Context()))
		w.restart(2)
		refused(drerror.MayHaveRun, drerror.OutcomeUnknown)(begin(1, "died", "f", time.Second))

		old := uuid.Must(uuid.NewV7())
		time.Sleep(testWindow + time.Second)
		refused(drerror.MayHaveRun, drerror.KeyExpired)(begin(0, old.String(), "f", time.Second))

		w.set(func() { w.logDown = true })
		refused(drerror.NotRun, drerror.LogUnavailable)(begin(0, "down", "f", 5*time.Second))
	})
}

func record(offset uint64, at time.Duration, e *drpb.OnceEntry) drlog.Record {
	b, _ := proto.Marshal(e)
	return drlog.Record{Offset: offset, Time: time.Unix(1000, 0).Add(at), Data: b}
}

func intent(key, attempt string) *drpb.OnceEntry {
	return &drpb.OnceEntry{Intents: []*drpb.OnceIntent{{Account: "a", Key: key, Attempt: attempt, Vm: "v"}}}
}

// Guards against readers that disagree about the winner of a key, and against
// a late intent that revives an abandoned attempt.
func TestFold(t *testing.T) {
	is := is.New(t)
	p := NewPartition(time.Minute)
	abandon := func(attempt string) *drpb.OnceEntry {
		return &drpb.OnceEntry{Abandons: []*drpb.OnceAbandon{{Account: "a", Key: "k", Attempt: attempt}}}
	}
	winner := func() string {
		i, _, _ := p.lookup("a", "k")
		return i.GetAttempt()
	}
	p.Apply(record(1, 0, abandon("late")))
	p.Apply(record(2, time.Second, intent("k", "late")))
	is.Equal(winner(), "")
	p.Apply(record(3, 2*time.Second, intent("k", "first")))
	p.Apply(record(4, 3*time.Second, intent("k", "second")))
	is.Equal(winner(), "first")
	p.Apply(record(5, 4*time.Second, abandon("second")))
	is.Equal(winner(), "first")

	o := NewPartition(time.Minute)
	is.NoErr(o.Restore(5, p.Snapshot()))
	is.Equal(o.Snapshot(), p.Snapshot())
	for _, q := range []*Partition{p, o} {
		q.Apply(record(6, 63*time.Second, intent("x", "x")))
		is.Equal(len(q.calls), 1) // "first" has expired by the time of the stream
	}
	is.Equal(o.Snapshot(), p.Snapshot())
	is.True(o.Restore(7, []byte("not protobuf")) != nil)
}

// Guards against a VM that decides on a partition that it does not follow.
func TestPartitionNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(2, 1)
		defer w.close()
		clear(w.node(0).home.config.Journals[:])
		for i := range 20 { // some of them have vm-00 as first home
			_, _, err := w.node(0).once.Begin(t.Context(), Call{Account: "acme", Key: fmt.Sprint(i), Fingerprint: nil})
			is.NoErr(err)
		}
		_, err := w.node(0).home.reserve(t.Context(), &drpb.OnceIntent{Account: "a", Key: "k", Attempt: "x", Vm: "v"})
		is.Equal(drerror.Of(err), drerror.NotRun)
	})
}

// Guards against a decision on a partition of which records are missing.
func TestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(2, 1)
		defer w.close()
		for i := range 2 {
			for _, p := range w.node(i).partitions {
				p.MarkGap()
			}
		}
		_, _, err := w.node(0).once.Begin(t.Context(), Call{Account: "acme", Key: "k", Fingerprint: nil})
		is.Equal(drerror.ReasonOf(err), drerror.OutcomeUnknown)
		is.Equal(drerror.Of(err), drerror.MayHaveRun)

		p := NewPartition(time.Minute)
		p.Apply(record(5, 0, intent("k", "a"))) // starts after offset 1
		is.True(!p.Complete())
		q := NewPartition(time.Minute)
		is.NoErr(q.Restore(5, p.Snapshot()))
		is.True(!q.Complete())
		q.Apply(record(6, time.Minute, intent("l", "b")))
		is.True(q.Complete())
	})
}

// Guards against records and snapshots that stop a reader, or that it reads
// differently after a restore.
func FuzzFold(f *testing.F) {
	seed, _ := proto.Marshal(intent("k", "a"))
	f.Add(seed, []byte{})
	f.Add([]byte{}, []byte("\x1a\x00\x22\x00"))
	f.Fuzz(func(t *testing.T, entry, snapshot []byte) {
		p, q := NewPartition(time.Minute), NewPartition(time.Minute)
		if p.Restore(1, snapshot) != nil {
			p = NewPartition(time.Minute)
		}
		for i := range 3 {
			p.Apply(drlog.Record{Offset: uint64(i + 2), Time: time.Unix(1000, 0), Data: entry})
		}
		s := p.Snapshot()
		if err := q.Restore(4, s); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(q.Snapshot(), s) {
			t.Fatal("the restored state differs")
		}
	})
}

// Guards against more appends than the log can take, and reports the latency
// that the reservation adds.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, rate, span = 16, 300, 5 * time.Second
		w := newWorld(vms, 1)
		defer w.close()
		r := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var begins, totals []time.Duration
		var wg sync.WaitGroup
		start := time.Now()
		for i := 0; time.Since(start) < span; i++ {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / rate))
			n := w.node(r.IntN(vms))
			wg.Go(func() {
				at := time.Now()
				a, _, err := n.once.Begin(t.Context(), Call{Account: "acme", Key: fmt.Sprint(i), Fingerprint: nil})
				if err != nil || a.Start(t.Context()) != nil {
					t.Error(err)
					return
				}
				begun := time.Since(at)
				_ = a.Finish(t.Context(), Outcome{drerror.Ran, &Answer{Status: 200}})
				mu.Lock()
				defer mu.Unlock()
				begins, totals = append(begins, begun), append(totals, time.Since(at))
			})
		}
		wg.Wait()
		slices.Sort(begins)
		slices.Sort(totals)
		q := func(ds []time.Duration, x float64) time.Duration { return ds[int(x*float64(len(ds)-1))] }
		perSecond := float64(w.appends) / span.Seconds()
		t.Logf("%d calls, %.0f appends/s; reserve p50 %v p99 %v; reserve and record p50 %v p99 %v", len(begins), perSecond,
			q(begins, 0.5), q(begins, 0.99), q(totals, 0.5), q(totals, 0.99))
		if perSecond > 400 {
			t.Errorf("%.0f appends/s, the bound is 400", perSecond)
		}
	})
}
