package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// accountLimits is the part of the configuration that drtokenshare needs.
type accountLimits struct{ config *drconfig.Fold }

// Limit implements drtokenshare.Limits.
func (l accountLimits) Limit(account string) (drconfig.Limit, bool) {
	return l.config.Current().Limit(account)
}

// Accounts implements drtokenshare.Limits.
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

// limiterAdapter adapts drtokenshare.Limiter to the gate.
type limiterAdapter struct{ limiter *drtokenshare.Limiter }

// Reserve implements drgateway.Limiter.
func (l limiterAdapter) Reserve(ctx context.Context, account string, tokens float64, deadline time.Time) (drgateway.Reservation, error) {
	r, err := l.limiter.Reserve(ctx, account, tokens, deadline)
	if err != nil {
		return nil, err
	}
	return r, nil
}
