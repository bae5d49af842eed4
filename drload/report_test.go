package drload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// testProfile returns a profile that sends all requests to the first of three targets.
func testProfile() Profile {
	return Profile{
		Targets: []string{"a", "b", "c"}, Seed: 7, Seconds: 20, Skew: 1,
		Accounts: []Account{{Name: "x", Rate: 50, Models: []string{"m", "n"}, IdleModels: []string{"i"}}},
	}
}

// Guards against plans that differ although profile and seed are the same, which would
// make runs incomparable, and against a skew of 1 that sends requests to other targets
// than the first.
func TestPlanIsRepeatable(t *testing.T) {
	is := is.New(t)
	first, second := planArrivals(testProfile()), planArrivals(testProfile())
	is.Equal(first, second)
	is.True(len(first) > 900 && len(first) < 1100) // 20 s at 50 per second
	for i, a := range first {
		is.Equal(a.target, 0)
		is.True(i == 0 || first[i-1].sinceStart <= a.sinceStart)
	}
	other := testProfile()
	other.Seed = 8
	is.True(len(planArrivals(other)) != len(first) || planArrivals(other)[0].sinceStart != first[0].sinceStart)
}

// Guards against counting a refusal as in-rate although the account had exceeded its
// limit, and against missing one although the bucket had enough tokens.
func TestInRateRefused(t *testing.T) {
	is := is.New(t)
	account := Account{LimitRate: 10, LimitBurst: 100}
	start := time.Unix(1000, 0)
	refused := func(after time.Duration, tokens int) outcome {
		return outcome{sent: start.Add(after), status: 429, reason: "over-rate", reservedTokens: tokens}
	}
	is.Equal(countInRateRefusals(account, []outcome{refused(0, 100)}), 1) // the bucket is full
	served := outcome{sent: start, status: 200, complete: true, reservedTokens: 100, usedTokens: 100}
	is.Equal(countInRateRefusals(account, []outcome{served, refused(time.Millisecond, 100)}), 0)
	is.Equal(countInRateRefusals(account, []outcome{served, refused(9*time.Second, 100)}), 1)
}

// Guards against counting a request as served although its stream ended without the end
// marker.
func TestIncompleteIsNotServed(t *testing.T) {
	is := is.New(t)
	r := newReport(testProfile(), []outcome{
		{status: 200, complete: true, timeToFirstToken: 10 * time.Millisecond},
		{status: 200, reason: "incomplete", timeToFirstToken: 10 * time.Millisecond},
		{status: 503, reason: "no-capacity"},
	}, time.Second)
	is.Equal(r.Accounts[0].Served, 1)
	is.Equal(r.Accounts[0].Refused, map[string]int{"incomplete": 1, "no-capacity": 1})
	is.Equal(r.Accounts[0].FirstToken.Count, int64(1))
}
