package drproxy

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// claimant implements drtokenpool.Reserver for one request: it tells the controller
// when the request arrived and whether it is the same as an earlier one.
type claimant struct{ exchange *exchange }

// Reserve implements drtokenpool.Reserver.
func (c claimant) Reserve(ctx context.Context, account string, tokens float64) (drtokenpool.Reservation, bool) {
	x := c.exchange
	return x.server.Claimer.Claim(ctx, account, drtokenpool.Claim{
		Tokens: tokens, Identity: x.claimIdentity(), Age: x.server.Clock.Since(x.start), Objective: x.route.Objective,
	})
}

// claimIdentity returns what a request and its repeats have in common, 0 if it has nothing
// that tells it from others for the same path.
func (x *exchange) claimIdentity() uint64 {
	if len(x.body) == 0 && len(x.call.Prompt) == 0 {
		return 0
	}
	request := x.identity().Request
	d := xxhash.New()
	_, _ = d.Write(request[:])
	_, _ = d.WriteString(x.call.Model + "/" + x.call.Adapter)
	for _, p := range x.call.Prompt {
		_, _ = d.WriteString(" " + p.ID)
	}
	return d.Sum64()
}

// countClaim counts how the request was charged to its account.
func (x *exchange) countClaim(a drtokenpool.Admission) {
	result := "refused"
	if a.Admitted {
		result = "admitted"
	}
	x.server.Metrics.Counter(drmetric.AccountClaims, a.Basis.String(), result).Inc(1)
}
