package drgateway

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// Generator starts a generation on an engine and returns its token stream, which
// the caller of Generate must close. GeneratorOf adapts a drrouter.Router.
type Generator interface {
	Generate(ctx context.Context, req drrouter.Request) (drengine.TokenStream, error)
}

// ServiceCaller sends calls to plain services, which are HTTP services that are
// not engines. drrouter.Services implements it.
type ServiceCaller interface {
	Call(ctx context.Context, fleet string, call drrouter.Call) (drrouter.Answer, error)
}

// GeneratorOf adapts router to Generator. A failed call returns a nil interface, not
// one that holds a nil stream.
func GeneratorOf(router *drrouter.Router) Generator { return routerGenerator{router} }

type routerGenerator struct{ router *drrouter.Router }

func (g routerGenerator) Generate(ctx context.Context, req drrouter.Request) (drengine.TokenStream, error) {
	stream, err := g.router.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Freshness tells whether the configuration in memory is recent enough to
// authenticate callers with.
type Freshness interface {
	// Isolated reports whether this VM may have missed the withdrawal of a
	// key. All requests are then refused.
	Isolated() bool
}
