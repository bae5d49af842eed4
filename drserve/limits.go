package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// accountLimits adapts the configuration to drtokenshare.Limits.
type accountLimits struct{ config *drconfig.Fold }

// Limit implements drtokenshare.Limits.
func (l accountLimits) Limit(account string) (drconfig.Limit, bool) {
	return l.config.Current().Limit(account)
}

// Accounts implements drtokenshare.Limits. It returns the accounts that have a
// limit.
func (l accountLimits) Accounts() []string {
	c := l.config.Current()
	var names []string
	for _, a := range c.Accounts() {
		if _, ok := c.Limit(a.Name); ok {
			names = append(names, a.Name)
		}
	}
	return names
}

// limiterAdapter adapts drtokenshare.Limiter to drgateway.Limiter.
type limiterAdapter struct{ limiter *drtokenshare.Limiter }

// Reserve implements drgateway.Limiter. A failed call returns a nil interface, not
// one that holds a nil reservation.
func (l limiterAdapter) Reserve(ctx context.Context, account string, tokens float64, deadline time.Time) (drgateway.Reservation, error) {
	reservation, err := l.limiter.Reserve(ctx, account, tokens, deadline)
	if err != nil {
		return nil, err
	}
	return reservation, nil
}
