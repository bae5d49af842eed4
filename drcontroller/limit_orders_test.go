package drcontroller

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

var (
	limitWorlds = flag.Int("limit-worlds", 16, "number of random worlds that TestLimitHoldsInRandomOrders plays")
	limitSeed   = flag.Uint64("limit-seed", 0, "plays only the world with this seed")
)

const (
	// limitLength is the time in which faults happen and the limit changes, and
	// limitSettle how long after that all VMs agree.
	limitLength = 16 * time.Second
	limitSettle = 4 * time.Second
	// The rule of the platform: from limitGrace after the limit was named, a runner gets
	// no more than limitOverage times its limit and limitSlack requests in limitWindow
	// from the VMs that have known the limit for limitKnown.
	limitGrace   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitKnown   = 500 * time.Millisecond
	limitOverage = 1.5
	limitSlack   = 5
	limitClients = 8 // of each VM
)

var limitRunner = &drfleet.Runner{ID: "r1"}

// limitWorld is a fleet whose VMs and controllers share the limit of one runner, on a
// network that delays and loses their calls.
type limitWorld struct {
	*testFleet
	tasks sync.WaitGroup

	mu       sync.Mutex // protects what follows
	random   *rand.Rand
	vms      []*limitVM
	started  int // VMs so far
	calm     bool
	ended    bool
	named    []namedLimit // by time
	arrivals []limitArrival
}

// namedLimit is a limit that the runner names from a time on, 0 for none. Limits that
// follow one another without a pause have the same spell.
type namedLimit struct {
	at    time.Duration
	rate  float64
	spell int
}

// limitArrival is a request that reached the runner. known is set if its VM had known for
// limitKnown that there is a limit.
type limitArrival struct {
	at    time.Duration
	vm    string
	known bool
}

// limitVM is one VM whose clients have requests for the runner all the time.
type limitVM struct {
	*testNode
	world       *limitWorld
	frozenUntil time.Duration
	storeless   bool // cut off from the store, but not from other VMs
	gone        bool
	heardSpell  int // whose limit it has heard last, since heardAt
	heardAt     time.Duration
}

func (w *limitWorld) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// between returns a random duration. The caller holds mu.
func (w *limitWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// pause sleeps for a random time, and until the VM is not frozen.
func (w *limitWorld) pause(v *limitVM, low, high time.Duration) {
	var d time.Duration
	w.locked(func() { d = w.between(low, high) })
	time.Sleep(d)
	for left := time.Nanosecond; left > 0; {
		w.locked(func() { left = v.frozenUntil - w.clock.Uptime() })
		time.Sleep(max(left, 0))
	}
}

// startVM adds a VM that knows nothing. The caller holds mu.
func (w *limitWorld) startVM() {
	w.started++
	name := fmt.Sprintf("vm-%d", w.started)
	v := &limitVM{world: w, testNode: &testNode{fleet: w.testFleet, name: name, handlers: make(map[string]drpeer.Handler)}}
	v.Node = New(Config{
		Clock: w.clock, VM: name, Address: name, Incarnation: 1, Log: v, Codec: lengthCodec{}, Engines: &fakeEngines{},
		Peers: v, Registry: v, Metrics: drmetric.New(), View: drfleetview.New(w.clock), Allowances: drtokenpool.NewAllowances(w.clock),
		Crashes: drcrash.NewLedger(w.clock), Processor: 1, Propagation: 2 * time.Second, RunnerDrain: 2 * time.Second,
	})
	w.testFleet.mu.Lock()
	w.nodes[name] = v.testNode
	w.testFleet.mu.Unlock()
	w.vms = append(w.vms, v)
	v.Start()
	for range limitClients {
		w.tasks.Go(func() { w.askAll(v) })
	}
}

// Call implements drpeer.Caller. A request arrives although its caller has given up, if it
// was on its way.
func (v *limitVM) Call(ctx context.Context, to, method string, req, resp proto.Message) error {
	w := v.world
	reply, done := resp.ProtoReflect().New().Interface(), make(chan error, 1)
	w.tasks.Go(func() {
		w.transfer(v, to)
		err := v.testNode.Call(ctx, to, method, req, reply)
		w.transfer(v, to)
		done <- err
	})
	select {
	case err := <-done:
		if err == nil {
			proto.Merge(resp, reply)
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// storeError returns the error of a call to the store, if the VM is cut off from it.
func (v *limitVM) storeError() (err error) {
	v.world.locked(func() {
		if v.storeless {
			err = errPartitioned
		}
	})
	return err
}

// Append implements drstore.Log. A VM that can't write renews no lease.
func (v *limitVM) Append(ctx context.Context, t drstore.Topic, value []byte, at drstore.Position) error {
	if err := v.storeError(); err != nil {
		return err
	}
	return v.testNode.Append(ctx, t, value, at)
}

// transfer takes the time of a message between two VMs, of which some are late.
func (w *limitWorld) transfer(v *limitVM, to string) {
	other, late := v, 5*time.Millisecond
	w.locked(func() {
		if !w.calm && w.random.IntN(8) == 0 {
			late = 1500 * time.Millisecond
		}
		for _, x := range w.vms {
			if x.name == to {
				other = x
			}
		}
	})
	w.pause(v, 0, late)
	w.pause(other, 0, time.Nanosecond)
}

// askAll sends requests of one client to the runner, one after the other.
func (w *limitWorld) askAll(v *limitVM) {
	for {
		var ended bool
		w.locked(func() { ended = w.ended || v.gone })
		if ended {
			return
		}
		if w.await(v) {
			w.send(v)
		}
		w.pause(v, 0, 400*time.Millisecond)
	}
}

// await waits until a request may be sent and reports whether it may.
func (w *limitWorld) await(v *limitVM) bool {
	now := time.Now()
	waiter := v.View.AddWaiter(drfleetview.Replica{}, now.Add(time.Second), now.Add(5*time.Second), 0)
	defer waiter.Close()
	for range 20 {
		changed := v.View.Changed()
		if len(v.View.Candidates(drfleetview.Replica{})) > 0 && v.View.MayStart(limitRunner) {
			return true
		}
		select {
		case <-changed:
		case <-time.After(250 * time.Millisecond):
		}
		w.pause(v, 0, time.Millisecond)
	}
	return false
}

// send lets a request reach the runner and records what its answer says.
func (w *limitWorld) send(v *limitVM) {
	sent := w.clock.Uptime()
	w.pause(v, 0, 10*time.Millisecond)
	w.locked(func() {
		now, n := w.clock.Uptime(), w.named[len(w.named)-1]
		known := n.rate > 0 && v.heardSpell == n.spell && now-v.heardAt >= limitKnown
		w.arrivals = append(w.arrivals, limitArrival{now, v.name, known})
	})
	w.pause(v, 5*time.Millisecond, 300*time.Millisecond)
	var n namedLimit
	w.locked(func() { n = w.named[len(w.named)-1] })
	w.pause(v, 0, 10*time.Millisecond)
	w.locked(func() {
		if n.rate > 0 && v.heardSpell != n.spell {
			v.heardSpell, v.heardAt = n.spell, w.clock.Uptime()
		}
	})
	rate := n.rate
	if rate > 0 {
		rate = max(rate, drfleetview.MinLimitRate)
	}
	v.View.OfferAnswer(drfleetview.IncarnationOf(limitRunner), rate, sent)
}

// nameLimit makes the runner name another limit, or none. The caller holds mu.
func (w *limitWorld) nameLimit() {
	next := namedLimit{at: w.clock.Uptime()}
	last := w.named[len(w.named)-1]
	if next.spell = last.spell; w.random.IntN(3) > 0 {
		next.rate = 0.1 + 10*math.Pow(w.random.Float64(), 3)
		if last.rate == 0 {
			next.spell++
		}
	}
	w.named = append(w.named, next)
}

// disturb makes one random fault or change happen.
func (w *limitWorld) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.random.IntN(len(w.vms))
	v := w.vms[i]
	switch w.random.IntN(9) {
	case 0:
		v.frozenUntil = w.clock.Uptime() + w.between(0, 3*time.Second)
	case 1:
		w.setCut(v, true)
		w.later(func() { w.setCut(v, false) })
	case 2:
		v.gone = true
		w.vms = append(w.vms[:i], w.vms[i+1:]...)
		w.setCut(v, true)
		w.tasks.Go(v.Close)
		w.startVM()
	case 3:
		w.testFleet.mu.Lock()
		w.outageUntil = time.Now().Add(w.between(0, 3*time.Second))
		w.testFleet.mu.Unlock()
	case 4:
		for _, x := range w.vms {
			x.storeless = x.Controlling() // its successor begins while it may go on
		}
		w.later(func() {
			for _, x := range w.vms {
				x.storeless = false
			}
		})
	default:
		w.nameLimit()
	}
}

// later runs f under the lock within the time that faults last. The caller holds mu.
func (w *limitWorld) later(f func()) {
	d := w.between(0, 4*time.Second)
	w.tasks.Go(func() {
		time.Sleep(d)
		w.locked(f)
	})
}

// setCut cuts a VM off from the store and all other VMs, but not from the runner. The caller
// holds mu.
func (w *limitWorld) setCut(v *limitVM, cut bool) {
	w.testFleet.mu.Lock()
	defer w.testFleet.mu.Unlock()
	v.partitioned = cut || v.gone
}

func (w *limitWorld) play() error {
	w.store.Put(drstore.Runners, limitRunner.ID, []byte("r"))
	w.locked(func() {
		for range 2 + w.random.IntN(4) {
			w.startVM()
		}
	})
	defer w.end()
	time.Sleep(2 * time.Second)
	for w.clock.Uptime() < limitLength {
		w.disturb()
		var d time.Duration
		w.locked(func() { d = w.between(0, 1500*time.Millisecond) })
		time.Sleep(d)
	}
	w.locked(func() {
		w.calm = true
		w.nameLimit()
	})
	time.Sleep(5*time.Second + limitSettle) // the last faults have ended
	from := w.clock.Uptime()
	time.Sleep(limitWindow)
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.checkRule(), w.checkCalm(from))
}

// end stops the clients and VMs.
func (w *limitWorld) end() {
	w.locked(func() { w.ended = true })
	w.close()
	w.tasks.Wait()
}

// checkRule returns an error for the first window with too many requests. The caller holds
// mu.
func (w *limitWorld) checkRule() error {
	for i, first := range w.arrivals {
		begin := w.limitAt(first.at)
		limit, spellBegan := 0.0, time.Duration(0)
		for j, n := range w.named {
			if n.spell != begin.spell || n.rate == 0 {
				continue
			}
			if spellBegan == 0 {
				spellBegan = n.at
			}
			if n.at <= first.at+limitWindow && (j+1 == len(w.named) || w.named[j+1].at > first.at-limitGrace) {
				limit = max(limit, n.rate)
			}
		}
		if begin.rate == 0 || first.at < spellBegan+limitGrace {
			continue
		}
		count := 0
		for _, a := range w.arrivals[i:] {
			if a.known && a.at < first.at+limitWindow && w.limitAt(a.at).spell == begin.spell {
				count++
			}
		}
		if allowed := limitOverage*limit*limitWindow.Seconds() + limitSlack; float64(count) > allowed {
			return fmt.Errorf("%d requests in the %s from %s, %.1f allowed at a limit of %.2f; limits: %v", count, limitWindow, first.at, allowed, limit, w.named)
		}
	}
	return nil
}

// limitAt returns what the runner named at a time. The caller holds mu.
func (w *limitWorld) limitAt(at time.Duration) namedLimit {
	found := w.named[0]
	for _, n := range w.named {
		if n.at <= at {
			found = n
		}
	}
	return found
}

// checkCalm returns an error if the VMs do not agree on the limit, or if since a time the
// runner got less than half of what it takes. The caller holds mu.
func (w *limitWorld) checkCalm(from time.Duration) error {
	limit := w.named[len(w.named)-1].rate
	perVM, total := make(map[string]int), 0
	for _, a := range w.arrivals {
		if a.at >= from {
			perVM[a.vm]++
			total++
		}
	}
	for _, v := range w.vms {
		if known, _ := v.View.LimitOf(drfleetview.IncarnationOf(limitRunner)); (known.Rate > 0) != (limit > 0) {
			return fmt.Errorf("%s takes the limit for %v, it is %v; limits: %v", v.name, known.Rate, limit, w.named)
		}
		if limit == 0 && perVM[v.name] == 0 {
			return fmt.Errorf("%s sends nothing to a runner without a limit; limits: %v", v.name, w.named)
		}
	}
	if float64(total) < limit*limitWindow.Seconds()/2-1 {
		return fmt.Errorf("%d requests in %s at a limit of %.2f; limits: %v", total, limitWindow, limit, w.named)
	}
	return nil
}

// Guards against VMs that together send a runner more requests than the limit that it has
// named, and against limits that outlast their naming or keep the runner idle, because
// statements of it are late or lost, VMs are frozen, cut off or restarted, or the
// controller changes.
func TestLimitHoldsInRandomOrders(t *testing.T) {
	discardLogs()
	if *limitSeed != 0 {
		playLimit(t, *limitSeed)
		return
	}
	first := rand.Uint64N(1 << 40)
	for i := 0; i < *limitWorlds && !t.Failed(); i++ {
		playLimit(t, first+uint64(i))
	}
}

func playLimit(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &limitWorld{testFleet: newTestFleet(0), random: rand.New(rand.NewPCG(seed, 41)), named: []namedLimit{{}}}
		if err := w.play(); err != nil {
			t.Errorf("seed %d (-limit-seed): %v", seed, err)
		}
	})
}
