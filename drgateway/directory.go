package drgateway

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Identity identifies the client account that a key belongs to.
type Identity struct {
	Account string
	// Withdrawn is closed when the key stops being valid. Running requests of
	// the key then end, except non-repeatable calls that are already dispatched:
	// those continue, but their answers are not sent.
	Withdrawn <-chan struct{}
}

// Model describes a model or adapter and the limits under which a client account
// may use it.
type Model struct {
	// Model is the name of the model, or of the adapter's base model. Adapter
	// is empty if no adapter is used.
	Model   string
	Adapter string
	// DefaultMaxTokens limits the output of requests that state no limit.
	// MaxTokens limits the output of all requests; zero means no limit.
	DefaultMaxTokens int
	MaxTokens        int
	// Priority is the most urgent class that requests may ask for.
	Priority drconfig.Priority
	// Timeout applies to requests that state none. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Directory looks up keys, models and routes in the current configuration. Its
// errors are of type *drerror.Error with the verdict NotRun. It must be safe for
// concurrent use.
type Directory interface {
	// Authenticate returns the client account of a key. An unknown or withdrawn
	// key gives an error with the reason InvalidKey.
	Authenticate(key string) (Identity, error)
	// Model looks up a model or adapter by name. Errors have the reason
	// UnknownModel or NotAllowed.
	Model(account, name string) (Model, error)
	// Models returns the names of the models and adapters that the account
	// may use.
	Models(account string) []string
	// Route returns the route with the longest path prefix of whole segments
	// that matches path. If there is none, the error has the reason
	// UnknownRoute.
	Route(path string) (drconfig.Route, error)
	// MayUse reports whether the account may use the route.
	MayUse(account string, route drconfig.Route) bool
}
