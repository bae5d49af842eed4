package drload

import (
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// rateLimitWait is how long an entry VM lets a request wait for tokens of its account's
// limit before it refuses the request.
const rateLimitWait = 2 * time.Second

// countInRateRefusals counts the requests that the system refused for the rate although
// one central token bucket would have admitted them. It replays the requests, which must
// be sorted by the time of sending, against such a bucket. Tokens that an admitted
// request reserved but did not use return to the bucket when its answer ends.
func countInRateRefusals(account Account, outcomes []outcome) int {
	if account.LimitRate <= 0 || len(outcomes) == 0 {
		return 0
	}
	type refund struct {
		at     time.Time
		tokens float64
	}
	var refunds []refund
	centralBucket := drtokenshare.NewCentralBucket(drconfig.Limit{Rate: account.LimitRate, Burst: account.LimitBurst}, outcomes[0].sent)
	count := 0
	for _, o := range outcomes {
		for len(refunds) > 0 && !refunds[0].at.After(o.sent) {
			centralBucket.Refund(refunds[0].tokens)
			refunds = refunds[1:]
		}
		admitted := centralBucket.Admit(o.sent, float64(o.reservedTokens), rateLimitWait)
		if admitted && o.reason == drerror.OverRate.String() {
			count++
		}
		if admitted {
			refunds = append(refunds, refund{o.sent.Add(o.totalTime), float64(o.reservedTokens - o.usedTokens)})
			slices.SortFunc(refunds, func(a, b refund) int { return a.at.Compare(b.at) })
		}
	}
	return count
}
