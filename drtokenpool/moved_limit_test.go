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
	moveStep    = 10 * time.Millisecond
	movePhase   = 16 * time.Second // between two moves
	moveHeard   = 2 * time.Second  // after a move by the controller and all VMs
	moveSettled = 3 * time.Second  // grants at the former rate are spent or returned
	moveReport  = 250 * time.Millisecond
	moveRequest = 2000.0 // tokens
	moveHigh    = 1e6
	moveLow     = 1e5
)

// move is a fleet in which a limit moves between two accounts.
type move struct {
	random     *rand.Rand
	clock      *drclock.Fake
	pool       *drtokenpool.Pool
	allowances []*drtokenpool.Allowances
	clients    []*poolClient
}

// limitsAfter returns the limits after a number of moves.
func limitsAfter(moves int) map[string]drtokenpool.Limit {
	a, b := moveHigh, moveLow
	if moves%2 == 1 {
		a, b = b, a
	}
	return map[string]drtokenpool.Limit{"a": {Rate: a, Burst: a}, "b": {Rate: b, Burst: b}}
}

func (m *move) someTime() time.Duration {
	return time.Duration(m.random.Int64N(int64(moveHeard))).Truncate(moveStep)
}

// play moves the limit once more, loses the controller soon after, and returns what was
// admitted of each account by step.
func (m *move) play(t *testing.T, moves int) map[string][]float64 {
	t.Helper()
	heard, lost, poolHeard := make([]time.Duration, len(m.clients)), m.someTime(), m.someTime()
	for i := range heard {
		heard[i] = m.someTime()
	}
	spent := make(map[string][]float64)
	for at := time.Duration(0); at < movePhase; at += moveStep {
		if at == lost {
			next := drtokenpool.NewPool(m.clock)
			next.Inherit(drtokenpool.Inheritance{Levels: m.pool.Levels(), VMs: len(m.clients)})
			next.SetLimits(limitsAfter(moves - 1))
			m.pool = next
		}
		if at >= poolHeard {
			m.pool.SetLimits(limitsAfter(moves))
		}
		for i := range m.clients {
			if at == heard[i] {
				m.allowances[i].SetLimits(limitsAfter(moves))
			}
		}
		for account, tokens := range m.admit(t, at) {
			spent[account] = append(spent[account], tokens)
		}
		m.clock.Advance(moveStep)
	}
	return spent
}

// admit lets both accounts send twice the higher rate for a step.
func (m *move) admit(t *testing.T, at time.Duration) map[string]float64 {
	t.Helper()
	admitted := map[string]float64{"a": 0, "b": 0}
	for i, a := range m.allowances {
		m.clients[i].pool = m.pool
		if (at+time.Duration(i)*moveStep)%moveReport == 0 {
			m.clients[i].report(a, len(m.clients))
		}
		for account := range admitted {
			for range int(2*moveHigh*moveStep.Seconds()/moveRequest/float64(len(m.clients)) + m.random.Float64()) {
				if a.Admit(t.Context(), m.clients[i], account, moveRequest).Admitted {
					admitted[account] += moveRequest
				}
			}
		}
	}
	return admitted
}

// Guards against an account that goes on at its former limit, or gets less than its new one,
// after a limit has moved from one account to another: controller and VMs hear of that at
// different times, in any order, and the controller is lost meanwhile.
func TestMovedLimitsHoldInRandomOrders(t *testing.T) {
	is := is.New(t)
	most, least, second := 0.0, 10.0, int(time.Second/moveStep)
	for seed := range uint64(8) {
		m := &move{random: rand.New(rand.NewPCG(seed, 9)), clock: drclock.NewFake(time.Unix(0, 0))}
		m.pool = drtokenpool.NewPool(m.clock)
		m.pool.SetLimits(limitsAfter(0))
		m.allowances, m.clients = newFleet(m.clock, m.pool, limitsAfter(0), 2+m.random.IntN(20))
		for moves := 1; moves < 5; moves++ {
			spent := m.play(t, moves)
			for account, l := range limitsAfter(moves) {
				for from := int(moveSettled / moveStep); from+8*second <= len(spent[account]); from += second / 4 {
					tokens := sum(spent[account][from : from+8*second])
					most = max(most, tokens/(8*l.Rate+l.Burst))
					if from >= 4*second {
						least = min(least, tokens/(8*l.Rate))
					}
				}
			}
		}
	}
	t.Logf("%.3f of the limit at most, %.3f of the rate at least", most, least)
	is.True(most <= 1.1)
	is.True(least >= 0.9)
}

// Guards against an account that is configured long after the start of a controller and gets
// a part of its rate only, because VMs of the former controller count as absent once more.
func TestNewAccountGetsItsRate(t *testing.T) {
	is := is.New(t)
	const vms, former, rate = 10, 40, 1e5
	clock := drclock.NewFake(time.Unix(0, 0))
	pool := drtokenpool.NewPool(clock)
	pool.Inherit(drtokenpool.Inheritance{VMs: former})
	pool.SetLimits(map[string]drtokenpool.Limit{"b": {Rate: rate, Burst: rate}})
	clock.Advance(time.Minute)
	limits := map[string]drtokenpool.Limit{"a": {Rate: rate, Burst: rate}}
	pool.SetLimits(limits)
	allowances, clients := newFleet(clock, pool, limits, vms)
	admitted, _ := surge(t, clock, allowances, clients, 3*rate, 6*time.Second)
	t.Logf("%.0f of %.0f tokens", sum(admitted), 7*rate)
	is.True(sum(admitted) >= 0.9*7*rate)
}
