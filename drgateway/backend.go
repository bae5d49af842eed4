package drgateway

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// Generator runs generations; see drrouter.Router.
type Generator interface {
	Generate(ctx context.Context, q drrouter.Request) (drengine.TokenStream, error)
}

// ServiceCaller calls plain services; drrouter.Services implements it.
type ServiceCaller interface {
	Call(ctx context.Context, fleet string, c drrouter.Call) (drrouter.Answer, error)
}

// GeneratorOf returns the Generator of r.
func GeneratorOf(r *drrouter.Router) Generator { return routerGenerator{r} }

type routerGenerator struct{ router *drrouter.Router }

func (g routerGenerator) Generate(ctx context.Context, q drrouter.Request) (drengine.TokenStream, error) {
	s, err := g.router.Generate(ctx, q)
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
