package drserve

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// accountLimits is the part of the configuration that drtokenshare needs.
type accountLimits struct{ fold *drconfig.Fold }

// Limit implements drtokenshare.Limits.
func (l accountLimits) Limit(account string) (drconfig.Limit, bool) {
	return l.fold.Current().Limit(account)
}

// Accounts implements drtokenshare.Limits.
func (l accountLimits) Accounts() []string {
	c := l.fold.Current()
	var names []string
	for _, a := range c.Accounts() {
		if _, ok := c.Limit(a.Name); ok {
			names = append(names, a.Name)
		}
	}
	return names
}

// limiter adapts drtokenshare.Limiter to the gate.
type limiter struct{ l *drtokenshare.Limiter }

// Reserve implements drgateway.Limiter.
func (l limiter) Reserve(ctx context.Context, account string, tokens float64, deadline time.Time) (drgateway.Reservation, error) {
	r, err := l.l.Reserve(ctx, account, tokens, deadline)
	if err != nil {
		return nil, err
	}
	return r, nil
}
