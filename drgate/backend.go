package drgate

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drroute"
)

// Generator runs generations; see drroute.Router.
type Generator interface {
	Generate(ctx context.Context, q drroute.Request) (drengine.TokenStream, error)
}

// Caller calls plain services; drroute.Services implements it.
type Caller interface {
	Call(ctx context.Context, fleet string, c drroute.Call) (drroute.Answer, error)
}

// GeneratorOf returns the Generator of r.
func GeneratorOf(r *drroute.Router) Generator { return routerGenerator{r} }

type routerGenerator struct{ r *drroute.Router }

func (g routerGenerator) Generate(ctx context.Context, q drroute.Request) (drengine.TokenStream, error) {
	s, err := g.r.Generate(ctx, q)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Freshness tells whether the configuration in memory may be relied on.
type Freshness interface {
	// Isolated reports whether keys may have been withdrawn unnoticed.
	Isolated() bool
}
