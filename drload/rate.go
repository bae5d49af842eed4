package drload

import (
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// rateLimitWait is how long an entry VM lets a request wait for tokens.
const rateLimitWait = 2 * time.Second

// countInRateRefusals replays the requests against one central bucket and counts
// those that it would have admitted although the system refused them for the
// rate. Unused tokens of served requests come back when their answer ended.
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
