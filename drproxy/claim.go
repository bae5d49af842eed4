package drproxy

import (
	"context"
	"encoding/binary"

	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// claimant implements drtokenpool.Reserver for one request: it tells the controller
// when the request arrived and whether it is the same as an earlier one.
type claimant struct{ exchange *exchange }

// Reserve implements drtokenpool.Reserver.
func (c claimant) Reserve(ctx context.Context, account string, tokens float64) (drtokenpool.Reservation, bool) {
	x := c.exchange
	request := x.identity().Request
	return x.server.Claimer.Claim(ctx, account, drtokenpool.Claim{
		Tokens: tokens, Identity: binary.LittleEndian.Uint64(request[:]), Age: x.server.Clock.Since(x.start),
		Objective: x.route.Objective,
	})
}

// countClaim counts how the request was charged to its account.
func (x *exchange) countClaim(a drtokenpool.Admission) {
	result := "refused"
	if a.Admitted {
		result = "admitted"
	}
	x.server.Metrics.Counter(drmetric.AccountClaims, a.Basis.String(), result).Inc(1)
}
