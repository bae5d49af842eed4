package drgateway

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Identity is the client account behind a key.
type Identity struct {
	Account string
	// Withdrawn is closed when the key stops being valid.
	Withdrawn <-chan struct{}
}

// Model is what a client account may do with a model or adapter.
type Model struct {
	// Model is the name of the (base) model, Adapter is empty for a model.
	Model   string
	Adapter string
	// DefaultMaxTokens bounds the output of requests that state no bound,
	// MaxTokens that of all requests. Zero MaxTokens means unbounded.
	DefaultMaxTokens int
	MaxTokens        int
	// Priority is the most urgent class that requests may claim.
	Priority drconfig.Priority
	// Timeout is the deadline of requests that state none; DefaultTimeout if
	// zero.
	Timeout time.Duration
}

// Directory answers questions about keys and declarations in force. Errors are
// *drerror.Error with NotRun.
type Directory interface {
	// Authenticate gives InvalidKey for an unknown or withdrawn key.
	Authenticate(key string) (Identity, error)
	// Model gives UnknownModel or NotAllowed.
	Model(account, name string) (Model, error)
	// Models returns the names of the models and adapters that the account
	// may use.
	Models(account string) []string
	// Route returns the route with the longest path prefix of whole segments
	// that matches path; UnknownRoute if there is none.
	Route(path string) (drconfig.Route, error)
	// MayUse reports whether the account may use the route.
	MayUse(account string, r drconfig.Route) bool
}
