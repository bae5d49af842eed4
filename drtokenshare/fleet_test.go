package drtokenshare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// fleet is a set of VMs with an in-memory network and log. It must run in a
// synctest bubble, whose clock is virtual.
type fleet struct {
	mu      sync.Mutex
	vms     []*vm
	limits  map[string]drconfig.Limit
	records []drlog.Record
	logDown bool
	random  *rand.Rand
	// faults is the probability that a message is late, that it is lost and that
	// it is delivered twice, each on its own.
	faults   float64
	messages int
	group    sync.WaitGroup
}

// vm is one process on a VM of the fleet. It implements the fleet view, the journal
// and the caller that its holder and limiter use.
type vm struct {
	fleet    *fleet
	member   drmember.Member
	shares   *Shares
	holder   *Holder
	limiter  *Limiter
	handlers map[string]drpeer.Handler
	messages int
	dead     bool
	draining bool
	gone     bool
	paused   chan struct{} // closed on resume; nil if running
	stop     context.CancelFunc
}

// newFleet starts a fleet of n VMs. The seed determines the faults of messages.
func newFleet(n int, policy Policy, seed uint64, limits map[string]drconfig.Limit) *fleet {
	f := &fleet{limits: limits, random: rand.New(rand.NewPCG(seed, 1))}
	f.vms = make([]*vm, n)
	for i := range n {
		f.start(i, drmember.Member{VM: fmt.Sprintf("vm-%02d", i), Incarnation: 1}, policy)
	}
	return f
}

// addVM starts a new VM and adds it to the fleet.
func (f *fleet) addVM(policy Policy) {
	n := len(f.vms)
	f.withLock(func() { f.vms = append(f.vms, nil) })
	f.start(n, drmember.Member{VM: fmt.Sprintf("vm-%02d", n), Incarnation: 1}, policy)
}

// start starts a process on the VM with index i and applies the whole log to it.
func (f *fleet) start(i int, m drmember.Member, policy Policy) {
	v := &vm{fleet: f, member: m, shares: NewShares(), handlers: make(map[string]drpeer.Handler)}
	v.holder = NewHolder(HolderConfig{
		Clock: drclock.System{}, View: v, Shares: v.shares, Journal: v, Limits: f, Recorder: drtimeline.Discard{},
	})
	v.holder.Register(v)
	v.limiter = New(Config{
		Clock: drclock.System{}, View: v, Shares: v.shares, Limits: f, Caller: v, Holder: v.holder, Policy: policy,
	})
	f.withLock(func() {
		for _, r := range f.records {
			v.shares.Apply(r)
		}
		f.vms[i] = v
	})
	var ctx context.Context
	ctx, v.stop = context.WithCancel(context.Background())
	f.group.Go(func() { v.holder.Run(ctx) })
}

func (f *fleet) close() {
	for _, v := range f.vms {
		f.resume(v)
		v.stop()
		v.limiter.Close()
	}
	f.group.Wait()
}

func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) pause(v *vm) { f.withLock(func() { v.paused = make(chan struct{}) }) }

func (f *fleet) resume(v *vm) {
	f.withLock(func() {
		if v.paused != nil {
			close(v.paused)
			v.paused = nil
		}
	})
}

// kill ends the process of v. Other VMs regard its shares as free only once its field
// gone is set.
func (f *fleet) kill(v *vm) {
	f.withLock(func() { v.dead = true })
	v.stop()
}

// restart replaces the process of v by one with a higher incarnation.
func (f *fleet) restart(v *vm, policy Policy) {
	v.limiter.Close()
	m := v.member
	m.Incarnation++
	f.start(slices.Index(f.vms, v), m, policy)
}

func (f *fleet) Limit(account string) (drconfig.Limit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.limits[account]
	return l, ok
}

func (f *fleet) Accounts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var accounts []string
	for a := range f.limits {
		accounts = append(accounts, a)
	}
	slices.Sort(accounts)
	return accounts
}

func (v *vm) Handle(method string, h drpeer.Handler) { v.handlers[method] = h }

func (v *vm) Self() drmember.Member              { return v.member }
func (v *vm) Members() []drmember.Member         { return v.Candidates() }
func (v *vm) Backends(string) []drmember.Backend { return nil }

func (v *vm) Candidates() []drmember.Member {
	var members []drmember.Member
	v.fleet.withLock(func() {
		for _, o := range v.fleet.vms {
			if o != nil && !o.dead && !o.draining {
				members = append(members, o.member)
			}
		}
	})
	return members
}

func (v *vm) Gone(name string) bool {
	gone := false
	v.fleet.withLock(func() {
		for _, o := range v.fleet.vms {
			gone = gone || o != nil && o.member.VM == name && o.gone
		}
	})
	return gone
}

func (v *vm) Append(_ context.Context, data []byte) (uint64, error) {
	time.Sleep(5 * time.Millisecond)
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logDown {
		return 0, drerror.New(drerror.NotRun, drerror.LogUnavailable, "log down")
	}
	r := drlog.Record{Offset: uint64(len(f.records) + 1), Time: time.Now(), Data: data}
	f.records = append(f.records, r)
	for _, o := range f.vms {
		if o != nil {
			o.shares.Apply(r)
		}
	}
	return r.Offset, nil
}

func (v *vm) WaitFor(context.Context, uint64) error { return nil }

// deliver simulates one way of a message: it takes 1 ms, or longer if the message is
// late, and waits while an endpoint is paused. If the message is lost or an endpoint is
// dead, it blocks until ctx ends.
func (f *fleet) deliver(ctx context.Context, endpoints ...*vm) error {
	delay := time.Millisecond
	lost := false
	f.withLock(func() {
		if f.random.Float64() < f.faults {
			delay += time.Duration(f.random.IntN(1500)) * time.Millisecond
		}
		lost = f.random.Float64() < f.faults
	})
	time.Sleep(delay)
	for _, e := range endpoints {
		var p chan struct{}
		f.withLock(func() { p, lost = e.paused, lost || e.dead })
		if p != nil {
			<-p
		}
	}
	if lost {
		<-ctx.Done()
	}
	return nil
}

func (v *vm) Call(ctx context.Context, name, method string, req, resp proto.Message) error {
	f := v.fleet
	var target *vm
	duplicate := false
	f.withLock(func() {
		f.messages++
		v.messages++
		for _, o := range f.vms {
			if o != nil && o.member.VM == name {
				target = o
			}
		}
		duplicate = f.random.Float64() < f.faults
	})
	body, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	f.group.Go(func() {
		f.deliver(ctx, v, target)
		dead := false
		var h drpeer.Handler
		f.withLock(func() { dead, h = target.dead, target.handlers[method] })
		if dead {
			return
		}
		if duplicate {
			h(ctx, drpeer.Sender{VM: v.member.VM}, body)
		}
		m, err := h(ctx, drpeer.Sender{VM: v.member.VM}, body)
		f.deliver(ctx, target, v)
		if ctx.Err() == nil && err == nil {
			b, _ := proto.Marshal(m)
			err = proto.Unmarshal(b, resp)
			done <- err
		}
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return drerror.Wrap(drerror.MayHaveRun, drerror.Unavailable, ctx.Err(), "no answer")
	}
}

// maxSent returns the number of messages that the VM with the most messages sent.
func (f *fleet) maxSent() int {
	n := 0
	for _, v := range f.vms {
		n = max(n, v.messages)
	}
	return n
}

// admission is an admitted request with the tokens that it used in the end.
type admission struct {
	at   time.Time
	used float64
}

// excess returns the number of tokens by which the admissions exceed
// rate·window + burst in the worst window, negative if they stay below. It is the
// highest level of a leaky bucket less the burst.
func excess(admissions []admission, limit drconfig.Limit) float64 {
	slices.SortFunc(admissions, func(a, b admission) int { return a.at.Compare(b.at) })
	level, worst := 0.0, -limit.Burst
	for i, a := range admissions {
		if i > 0 {
			level = max(0, level-limit.Rate*a.at.Sub(admissions[i-1].at).Seconds())
		}
		level += a.used
		worst = max(worst, level-limit.Burst)
	}
	return worst
}

// load describes Poisson arrivals of requests of one account.
type load struct {
	account    string
	limit      drconfig.Limit
	rateFactor float64 // tokens requested per second, as a multiple of limit.Rate
	size       float64 // mean tokens of a request, uniform between 0.5 and 1.5 times size
	vm         int     // index of the VM to which requests go; -1 for a random one each
	settle     bool    // whether requests give back a random part of their tokens
}

// outcome holds the results of a load. refusedInRate counts the refusals of requests
// that a central bucket would have admitted; usedTokens and centralTokens are the
// tokens that the requests admitted by the fleet and by the central bucket used.
type outcome struct {
	sent, refused, refusedInRate int
	admitted                     []admission
	usedTokens, centralTokens    float64
	waits                        []time.Duration
}

// run sends the load for the time d and waits for all answers. The waits in the
// outcome are sorted.
func (f *fleet) run(t *testing.T, l load, seed uint64, d time.Duration) *outcome {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 2))
	central := NewCentralBucket(l.limit, time.Now())
	result := &outcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for {
		time.Sleep(time.Duration(r.ExpFloat64() * l.size / (l.limit.Rate * l.rateFactor) * float64(time.Second)))
		if time.Since(start) > d {
			break
		}
		tokens := l.size * (0.5 + r.Float64())
		used, runTime := tokens, time.Duration(r.IntN(3000))*time.Millisecond
		if l.settle {
			used = tokens * r.Float64()
		}
		n := l.vm
		if n < 0 {
			n = r.IntN(len(f.vms))
		}
		var v *vm
		f.withLock(func() { v = f.vms[n] })
		inRate := central.Admit(time.Now(), tokens, maxWait)
		result.sent++
		if inRate {
			result.centralTokens += used
		}
		wg.Go(func() {
			at := time.Now()
			res, err := v.limiter.Reserve(context.Background(), l.account, tokens, at.Add(time.Minute))
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.refused++
				if inRate {
					result.refusedInRate++
				}
				return
			}
			result.admitted = append(result.admitted, admission{now, used})
			result.usedTokens += used
			result.waits = append(result.waits, now.Sub(at))
			if l.settle {
				wg.Go(func() {
					time.Sleep(runTime)
					res.Settle(used)
				})
			}
		})
	}
	wg.Wait()
	slices.Sort(result.waits)
	return result
}
