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

// callResult is what the caller of one request observed.
type callResult struct {
	key string
	// ranAnswer is the answer if this request was executed, replayedAnswer
	// that of an earlier request with the key. At most one is set.
	ranAnswer, replayedAnswer string
	err                       error
}

// sendCall sends a keyed call through a VM, as the gateway does. body is the
// response if the call is executed. answered is false if the VM was killed before
// it replied to the caller.
func (c *testCluster) sendCall(node *testNode, key string, timeout time.Duration, body string) (result callResult, answered bool) {
	result.key = key
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	attempt, answer, err := node.reserver.Begin(ctx, Call{Account: "acme", Key: key, Fingerprint: []byte("f")})
	if !node.waitUnpaused() {
		return result, false
	}
	if err != nil || answer != nil {
		result.err = err
		if answer != nil {
			result.replayedAnswer = string(answer.Body)
		}
		return result, true
	}
	if c.faultOccurs() {
		attempt.Abandon()
		if attempt.Start(ctx) == nil {
			panic("an abandoned attempt was started")
		}
		result.err = drerror.New(drerror.NotRun, drerror.CallerGone, "abandoned")
		return result, true
	}
	if result.err = attempt.Start(ctx); result.err != nil {
		return result, true
	}
	if !node.waitUnpaused() {
		return result, false // killed before it sent the call
	}
	if c.faultOccurs() {
		_ = attempt.Finish(ctx, Outcome{Verdict: drerror.NotRun})
		result.err = drerror.New(drerror.NotRun, drerror.Unavailable, "connection refused")
		return result, node.waitUnpaused()
	}
	c.withLock(func() { c.executions[key]++ })
	result.ranAnswer = body
	time.Sleep(time.Duration(c.randomInt(300)) * time.Millisecond)
	if !node.waitUnpaused() {
		return result, false // killed after it sent the call
	}
	_ = attempt.Finish(ctx, Outcome{Verdict: drerror.Ran, Answer: &Answer{Status: 200, Body: []byte(body)}})
	return result, node.waitUnpaused()
}

// keyModel specifies one key as a register: it is empty until the only execution
// sets it to its answer, and a replay must return that answer. Refused requests
// don't change it.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Output.(callResult).key
			byKey[k] = append(byKey[k], o)
		}
		var partitions [][]porcupine.Operation
		for _, p := range byKey {
			partitions = append(partitions, p)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		switch r := output.(callResult); {
		case r.ranAnswer != "":
			return state == "", r.ranAnswer
		case r.replayedAnswer != "":
			return state == r.replayedAnswer, state
		default:
			return true, state
		}
	},
}

// Guards against executing a keyed call twice, and against replaying anything but
// the answer of the execution. The faults are lost, delayed and repeated messages
// and appends, killed and paused VMs, and log outages.
func TestAtMostOnce(t *testing.T) {
	executed, replayed, refused := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.Float64Range(0, 0.2).Draw(rt, "faults")
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 0, 8).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(4, seed)
			cluster.faultProbability = faults
			var history []porcupine.Operation
			var clients sync.WaitGroup
			random := rand.New(rand.NewPCG(seed, 3))
			for client := range 24 {
				key, wait := fmt.Sprint("k", client%6), time.Duration(random.IntN(4000))*time.Millisecond
				vm, timeout := random.IntN(4), time.Duration(100+random.IntN(4000))*time.Millisecond
				clients.Go(func() {
					time.Sleep(wait)
					start := time.Now().UnixNano()
					result, answered := cluster.sendCall(cluster.node(vm), key, timeout, fmt.Sprint("answer-", client))
					end := time.Now().UnixNano()
					if !answered {
						end = 1 << 62
					}
					if result.err != nil && drerror.VerdictOf(result.err) == drerror.NotRun && result.ranAnswer != "" {
						t.Errorf("the call ran, but its error has verdict not-run: %v", result.err)
					}
					cluster.withLock(func() {
						history = append(history, porcupine.Operation{ClientId: client, Call: start, Output: result, Return: end})
						executed += len(result.ranAnswer) / max(1, len(result.ranAnswer))
						replayed += len(result.replayedAnswer) / max(1, len(result.replayedAnswer))
						if result.err != nil {
							refused++
						}
					})
				})
			}
			for _, s := range steps {
				time.Sleep(400 * time.Millisecond)
				cluster.injectFault(s)
			}
			cluster.withLock(func() { cluster.logDown = false })
			for i := range 4 {
				cluster.node(i).resume()
			}
			clients.Wait()
			for k, n := range cluster.executions {
				if n > 1 {
					t.Errorf("key %q ran %d times", k, n)
				}
			}
			if !porcupine.CheckOperations(keyModel, history) {
				t.Errorf("history is not linearizable: %v", history)
			}
			cluster.close()
		})
	})
	t.Logf("%d executions, %d replays, %d refusals", executed, replayed, refused)
}

// injectFault pauses VM fault for 1.5 s if fault is 0 to 3, restarts VM fault-4 if
// it is 4 to 7, and otherwise switches the log off or on.
func (c *testCluster) injectFault(fault int) {
	switch index := fault % 4; {
	case fault < 4:
		node := c.node(index)
		node.resume()
		node.pause()
		time.Sleep(1500 * time.Millisecond)
		node.resume()
	case fault < 8:
		c.restart(index)
	default:
		c.withLock(func() { c.logDown = !c.logDown })
	}
}

// Guards against wrong reasons and verdicts of refusals. Callers decide from them
// whether a request may be repeated.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newCluster(3, 1)
		defer cluster.close()
		begin := func(vm int, key, fingerprint string, timeout time.Duration) (*Attempt, *Answer, error) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return cluster.node(vm).reserver.Begin(ctx, Call{Account: "acme", Key: key, Fingerprint: []byte(fingerprint)})
		}
		expectRefused := func(verdict drerror.Verdict, reason drerror.Reason) func(*Attempt, *Answer, error) {
			return func(attempt *Attempt, answer *Answer, err error) {
				is.Helper()
				is.True(attempt == nil && answer == nil)
				is.Equal(drerror.ReasonOf(err), reason)
				is.Equal(drerror.VerdictOf(err), verdict)
			}
		}
		attempt, _, err := begin(0, "k", "f", time.Second)
		is.NoErr(err)
		is.NoErr(attempt.Start(t.Context()))
		is.True(attempt.Start(t.Context()) != nil) // would send the call twice
		expectRefused(drerror.MayHaveRun, drerror.CallInProgress)(begin(1, "k", "f", time.Second))
		expectRefused(drerror.NotRun, drerror.KeyReused)(begin(1, "k", "g", time.Second))

		// A repeated request that waits gets the answer of the first attempt.
		time.AfterFunc(time.Second, func() {
			_ = attempt.Finish(context.Background(), Outcome{drerror.Ran, &Answer{Status: 201, Body: []byte("ok"), Headers: []Header{{"X", "y"}}}})
		})
		_, answer, err := begin(1, "k", "f", 5*time.Second)
		is.NoErr(err)
		is.Equal(*answer, Answer{Status: 201, Body: []byte("ok"), Headers: []Header{{"X", "y"}}})

		// Answers that are too large are not replayed.
		attempt, _, err = begin(0, "large", "f", time.Second)
		is.NoErr(err)
		is.NoErr(attempt.Start(t.Context()))
		is.NoErr(attempt.Finish(t.Context(), Outcome{drerror.Ran, &Answer{Status: 200, Body: make([]byte, MaxAnswer+1)}}))
		expectRefused(drerror.Ran, drerror.OutcomeUnknown)(begin(2, "large", "f", time.Second))

		// An abandoned attempt frees the key and cannot be started.
		attempt, _, err = begin(0, "left", "f", time.Second)
		is.NoErr(err)
		attempt.Abandon()
		is.Equal(drerror.VerdictOf(attempt.Start(t.Context())), drerror.NotRun)
		_, _, err = begin(1, "left", "f", time.Second)
		is.NoErr(err)

		// A call whose reservation is too old is not sent.
		attempt, _, err = begin(0, "old", "f", time.Second)
		is.NoErr(err)
		time.Sleep(grantLifetime + time.Second)
		is.Equal(drerror.ReasonOf(attempt.Start(t.Context())), drerror.Deadline)

		// The call of a VM that restarted after Start may have run.
		attempt, _, err = begin(2, "died", "f", time.Second)
		is.NoErr(err)
		is.NoErr(attempt.Start(t.Context()))
		cluster.restart(2)
		expectRefused(drerror.MayHaveRun, drerror.OutcomeUnknown)(begin(1, "died", "f", time.Second))

		old := uuid.Must(uuid.NewV7())
		time.Sleep(testWindow + time.Second)
		expectRefused(drerror.MayHaveRun, drerror.KeyExpired)(begin(0, old.String(), "f", time.Second))

		cluster.withLock(func() { cluster.logDown = true })
		expectRefused(drerror.NotRun, drerror.LogUnavailable)(begin(0, "down", "f", 5*time.Second))
	})
}

func entryRecord(offset uint64, elapsed time.Duration, entry *drpb.OnceEntry) drlog.Record {
	data, _ := proto.Marshal(entry)
	return drlog.Record{Offset: offset, Time: time.Unix(1000, 0).Add(elapsed), Data: data}
}

func intentEntry(key, attempt string) *drpb.OnceEntry {
	return &drpb.OnceEntry{Intents: []*drpb.OnceIntent{{Account: "a", Key: key, Attempt: attempt, Vm: "v"}}}
}

// Guards against VMs that read the same records but disagree about the winner of a
// key, also after a restore from a snapshot, and against an intent that arrives
// after its attempt was abandoned and takes the key.
func TestFold(t *testing.T) {
	is := is.New(t)
	partition := NewPartition(time.Minute)
	abandon := func(attempt string) *drpb.OnceEntry {
		return &drpb.OnceEntry{Abandons: []*drpb.OnceAbandon{{Account: "a", Key: "k", Attempt: attempt}}}
	}
	winner := func() string {
		intent, _, _ := partition.lookup("a", "k")
		return intent.GetAttempt()
	}
	partition.Apply(entryRecord(1, 0, abandon("late")))
	partition.Apply(entryRecord(2, time.Second, intentEntry("k", "late")))
	is.Equal(winner(), "")
	partition.Apply(entryRecord(3, 2*time.Second, intentEntry("k", "first")))
	partition.Apply(entryRecord(4, 3*time.Second, intentEntry("k", "second")))
	is.Equal(winner(), "first")
	partition.Apply(entryRecord(5, 4*time.Second, abandon("second")))
	is.Equal(winner(), "first")

	restored := NewPartition(time.Minute)
	is.NoErr(restored.Restore(5, partition.Snapshot()))
	is.Equal(restored.Snapshot(), partition.Snapshot())
	for _, each := range []*Partition{partition, restored} {
		each.Apply(entryRecord(6, 63*time.Second, intentEntry("x", "x")))
		is.Equal(len(each.calls), 1) // "first" has expired by streamTime
	}
	is.Equal(restored.Snapshot(), partition.Snapshot())
	is.True(restored.Restore(7, []byte("not protobuf")) != nil)
}

// Guards against a VM that grants keys of a partition that it does not follow, whose
// earlier intents it therefore doesn't know.
func TestPartitionNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newCluster(2, 1)
		defer cluster.close()
		clear(cluster.node(0).home.config.Journals[:])
		for i := range 20 { // some of them have vm-00 as first home
			_, _, err := cluster.node(0).reserver.Begin(t.Context(), Call{Account: "acme", Key: fmt.Sprint(i), Fingerprint: nil})
			is.NoErr(err)
		}
		_, err := cluster.node(0).home.reserve(t.Context(), &drpb.OnceIntent{Account: "a", Key: "k", Attempt: "x", Vm: "v"})
		is.Equal(drerror.VerdictOf(err), drerror.NotRun)
	})
}

// Guards against granting a key while records of its partition are missing: one of
// them may be an earlier intent for the key. Records go missing when retention
// removes them before they are read.
func TestGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := newCluster(2, 1)
		defer cluster.close()
		for i := range 2 {
			for _, p := range cluster.node(i).partitions {
				p.MarkGap()
			}
		}
		_, _, err := cluster.node(0).reserver.Begin(t.Context(), Call{Account: "acme", Key: "k", Fingerprint: nil})
		is.Equal(drerror.ReasonOf(err), drerror.OutcomeUnknown)
		is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)

		partition := NewPartition(time.Minute)
		partition.Apply(entryRecord(5, 0, intentEntry("k", "a"))) // starts after offset 1
		is.True(!partition.Complete())
		restored := NewPartition(time.Minute)
		is.NoErr(restored.Restore(5, partition.Snapshot()))
		is.True(!restored.Complete())
		restored.Apply(entryRecord(6, time.Minute, intentEntry("l", "b")))
		is.True(restored.Complete())
	})
}

// Guards against records and snapshots that make a reader panic, and against a
// restored state that differs from the one that was saved.
func FuzzFold(f *testing.F) {
	seed, _ := proto.Marshal(intentEntry("k", "a"))
	f.Add(seed, []byte{})
	f.Add([]byte{}, []byte("\x1a\x00\x22\x00"))
	f.Fuzz(func(t *testing.T, entry, snapshot []byte) {
		partition, restored := NewPartition(time.Minute), NewPartition(time.Minute)
		if partition.Restore(1, snapshot) != nil {
			partition = NewPartition(time.Minute)
		}
		for i := range 3 {
			partition.Apply(drlog.Record{Offset: uint64(i + 2), Time: time.Unix(1000, 0), Data: entry})
		}
		saved := partition.Snapshot()
		if err := restored.Restore(4, saved); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(restored.Snapshot(), saved) {
			t.Fatal("the restored state differs")
		}
	})
}

// Guards against more appends than the log can take, and reports the latency
// that the reservation adds.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, rate, duration = 16, 300, 5 * time.Second
		cluster := newCluster(vms, 1)
		defer cluster.close()
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var reserveTimes, totalTimes []time.Duration
		var wg sync.WaitGroup
		start := time.Now()
		for i := 0; time.Since(start) < duration; i++ {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
			node := cluster.node(random.IntN(vms))
			wg.Go(func() {
				began := time.Now()
				attempt, _, err := node.reserver.Begin(t.Context(), Call{Account: "acme", Key: fmt.Sprint(i), Fingerprint: nil})
				if err != nil || attempt.Start(t.Context()) != nil {
					t.Error(err)
					return
				}
				reserveTime := time.Since(began)
				_ = attempt.Finish(t.Context(), Outcome{drerror.Ran, &Answer{Status: 200}})
				mu.Lock()
				defer mu.Unlock()
				reserveTimes, totalTimes = append(reserveTimes, reserveTime), append(totalTimes, time.Since(began))
			})
		}
		wg.Wait()
		slices.Sort(reserveTimes)
		slices.Sort(totalTimes)
		quantile := func(durations []time.Duration, fraction float64) time.Duration {
			return durations[int(fraction*float64(len(durations)-1))]
		}
		perSecond := float64(cluster.appends) / duration.Seconds()
		t.Logf("%d calls, %.0f appends/s; reserve p50 %v p99 %v; reserve and record p50 %v p99 %v", len(reserveTimes), perSecond,
			quantile(reserveTimes, 0.5), quantile(reserveTimes, 0.99), quantile(totalTimes, 0.5), quantile(totalTimes, 0.99))
		if perSecond > 400 {
			t.Errorf("%.0f appends/s, the bound is 400", perSecond)
		}
	})
}
