package drload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func profile() Profile {
	return Profile{
		Targets: []string{"a", "b", "c"}, Seed: 7, Seconds: 20, Skew: 1,
		Accounts: []Account{{Name: "x", Rate: 50, Models: []string{"m", "n"}, IdleModels: []string{"i"}}},
	}
}

// Guards against runs with one seed that cannot be compared, and against a
// skew that sends requests elsewhere.
func TestPlanIsRepeatable(t *testing.T) {
	is := is.New(t)
	one, two := plan(profile()), plan(profile())
	is.Equal(one, two)
	is.True(len(one) > 900 && len(one) < 1100) // 20 s at 50 per second
	for i, a := range one {
		is.Equal(a.target, 0)
		is.True(i == 0 || one[i-1].at <= a.at)
	}
	other := profile()
	other.Seed = 8
	is.True(len(plan(other)) != len(one) || plan(other)[0].at != one[0].at)
}

// Guards against over-rate refusals that are counted as in-rate, and the other
// way round.
func TestInRateRefused(t *testing.T) {
	is := is.New(t)
	a := Account{LimitRate: 10, LimitBurst: 100}
	begin := time.Unix(1000, 0)
	refused := func(after time.Duration, tokens int) outcome {
		return outcome{sent: begin.Add(after), status: 429, reason: "over-rate", reserved: tokens}
	}
	is.Equal(inRateRefused(a, []outcome{refused(0, 100)}), 1) // the bucket is full
	served := outcome{sent: begin, status: 200, complete: true, reserved: 100, used: 100}
	is.Equal(inRateRefused(a, []outcome{served, refused(time.Millisecond, 100)}), 0)
	is.Equal(inRateRefused(a, []outcome{served, refused(9*time.Second, 100)}), 1)
}

// Guards against a broken stream that counts as served.
func TestIncompleteIsNotServed(t *testing.T) {
	is := is.New(t)
	r := newReport(profile(), []outcome{
		{status: 200, complete: true, firstToken: 10 * time.Millisecond},
		{status: 200, reason: "incomplete", firstToken: 10 * time.Millisecond},
		{status: 503, reason: "no-capacity"},
	}, time.Second)
	is.Equal(r.Accounts[0].Served, 1)
	is.Equal(r.Accounts[0].Refused, map[string]int{"incomplete": 1, "no-capacity": 1})
	is.Equal(r.Accounts[0].FirstToken.Count, int64(1))
}
