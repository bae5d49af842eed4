package drload

import (
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// limitWait is how long an entry VM lets a request wait for tokens.
const limitWait = 2 * time.Second

// inRateRefused replays the requests against one central bucket and counts
// those that it would have admitted although the system refused them for the
// rate. Unused tokens of served requests come back when their answer ended.
func inRateRefused(a Account, outcomes []outcome) int {
	if a.LimitRate <= 0 || len(outcomes) == 0 {
		return 0
	}
	type refund struct {
		at     time.Time
		tokens float64
	}
	var refunds []refund
	ideal := drtokenshare.NewCentralBucket(drconfig.Limit{Rate: a.LimitRate, Burst: a.LimitBurst}, outcomes[0].sent)
	refused := 0
	for _, o := range outcomes {
		for len(refunds) > 0 && !refunds[0].at.After(o.sent) {
			ideal.Refund(refunds[0].tokens)
			refunds = refunds[1:]
		}
		admitted := ideal.Admit(o.sent, float64(o.reserved), limitWait)
		if admitted && o.reason == drerror.OverRate.String() {
			refused++
		}
		if admitted {
			refunds = append(refunds, refund{o.sent.Add(o.total), float64(o.reserved - o.used)})
			slices.SortFunc(refunds, func(a, b refund) int { return a.at.Compare(b.at) })
		}
	}
	return refused
}
