package drtokenpool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

const (
	successionStep   = 10 * time.Millisecond
	successionReport = 250 * time.Millisecond
	lostReplies      = 0.1
	successionRate   = 1e7
)

// succession is a fleet whose controllers follow one another, each lost after a while.
type succession struct {
	clock      *drclock.Fake
	random     *rand.Rand
	limits     map[string]drtokenpool.Limit
	allowances []*drtokenpool.Allowances
	clients    []*poolClient
	weights    []float64 // part of the account's load that each VM gets
	pool       *drtokenpool.Pool
	byStep     []float64
	mostShared float64 // sum of the VMs' parts when a controller was lost
}

func newSuccession(seed uint64) *succession {
	s := &succession{clock: drclock.NewFake(time.Unix(0, 0)), random: rand.New(rand.NewPCG(seed, seed))}
	s.limits = map[string]drtokenpool.Limit{"a": {Rate: successionRate, Burst: successionRate * (0.5 + s.random.Float64())}}
	vms := 2 + s.random.IntN(30)
	s.pool = drtokenpool.NewPool(s.clock)
	s.pool.SetLimits(s.limits)
	s.allowances, s.clients = newFleet(s.clock, s.pool, s.limits, vms)
	total, skew := 0.0, s.random.Float64()*3
	for range vms {
		w := s.random.Float64()
		for range int(skew) {
			w *= w
		}
		s.weights, total = append(s.weights, w), total+w
	}
	for i := range s.weights {
		s.weights[i] /= total
	}
	return s
}

// play lets the account send many times its rate for a time.
func (s *succession) play(t *testing.T, length time.Duration, load float64) {
	t.Helper()
	const tokens = successionRate / 10_000
	for range length / successionStep {
		admitted := 0.0
		for i, a := range s.allowances {
			for range int(load*s.weights[i]*successionRate*successionStep.Seconds()/tokens + s.random.Float64()) {
				if a.Admit(t.Context(), s.clients[i], "a", tokens).Admitted {
					admitted += tokens
				}
			}
			if s.pool != nil && s.random.Float64() < float64(successionStep)/float64(successionReport) {
				s.report(i)
			}
		}
		s.byStep = append(s.byStep, admitted)
		s.clock.Advance(successionStep)
	}
}

// report makes a VM report to the controller. Some replies are lost.
func (s *succession) report(i int) {
	s.clients[i].pool, s.clients[i].down = s.pool, false
	if s.random.Float64() >= lostReplies {
		s.clients[i].report(s.allowances[i], len(s.clients))
		return
	}
	for _, x := range s.allowances[i].Spendings() {
		s.pool.Report(s.clients[i].vm, x)
	}
}

// lose ends the controller and starts the next one after a while.
func (s *succession) lose(t *testing.T, gap time.Duration, load float64) {
	t.Helper()
	inherited := drtokenpool.Inheritance{Levels: s.pool.Levels(), VMs: len(s.clients)}
	s.pool = nil
	shared := 0.0
	for i, c := range s.clients {
		c.down = true
		for _, x := range s.allowances[i].Spendings() {
			shared += x.Share
		}
	}
	s.mostShared = max(s.mostShared, shared)
	s.play(t, gap, load)
	inherited.Age = gap
	s.pool = drtokenpool.NewPool(s.clock)
	s.pool.Inherit(inherited)
	s.pool.SetLimits(s.limits)
}

// most returns the largest number of tokens admitted within a window.
func (s *succession) most(window time.Duration) float64 {
	most, inside, n := 0.0, 0.0, int(window/successionStep)
	for i, x := range s.byStep {
		inside += x
		if i >= n {
			inside -= s.byStep[i-n]
		}
		most = max(most, inside)
	}
	return most
}

// Guards against VMs that together spend more than the account's rate after the first
// reports to a new controller, which is lost again before it knows what each VM spends. The
// limit is so high that no fixed allowance above it covers that.
func TestControllersInRandomOrdersKeepRate(t *testing.T) {
	is := is.New(t)
	worst, shared, served, length := 0.0, 0.0, 0.0, 0.0
	for seed := range uint64(12) {
		s := newSuccession(seed)
		s.play(t, 4*time.Second, 3)
		for range 8 {
			load := s.random.Float64() * 5
			s.random.Shuffle(len(s.weights), func(i, j int) { s.weights[i], s.weights[j] = s.weights[j], s.weights[i] })
			s.lose(t, time.Duration(s.random.IntN(3500))*time.Millisecond, load)
			s.play(t, time.Duration(20+s.random.IntN(600))*time.Millisecond, load)
		}
		l := s.limits["a"]
		part := s.most(8*time.Second) / (8*l.Rate + l.Burst)
		if part > 1.1 {
			t.Logf("seed %d, %d VMs: %.3f of the limit", seed, len(s.clients), part)
		}
		worst, shared, served = max(worst, part), max(shared, s.mostShared), served+sum(s.byStep)/l.Rate
		length += float64(len(s.byStep)) * successionStep.Seconds()
	}
	t.Logf("at most %.3f of the limit, %.3f of the rate; parts of %.3f in all", worst, served/length, shared)
	is.True(worst <= 1.1)
	is.True(shared <= 1.0001)
	is.True(served >= 0.75*length) // not by refusing what is within the rate
}
