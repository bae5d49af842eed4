package drconfig

import "github.com/dotterelridge/dotterelridge/drjson"

// Labels are key-value pairs attached to declared objects. Selectors and routes match
// objects by them.
type Labels map[string]string

// Model is a language model that callers can use, with the fleet that can load it.
type Model struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Fleet is the name of the engine fleet that can load the model.
	Fleet string `json:"fleet"`
	// Bytes is the memory that one loaded replica takes.
	Bytes int64 `json:"bytes" unit:"bytes"`
	// DefaultMaxTokens limits the output of a request that states no limit, and
	// MaxTokens the output of any request.
	DefaultMaxTokens int `json:"default-max-tokens"`
	MaxTokens        int `json:"max-tokens"`
}

// Adapter is a small set of weights that is loaded on top of a model. Callers use it
// like a model of its own.
type Adapter struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Base is the name of the model that the adapter is loaded on top of.
	Base string `json:"base"`
	// Bytes is the memory that the loaded adapter takes.
	Bytes int64 `json:"bytes" unit:"bytes"`
}

// FleetKind says what kind of backend servers a fleet consists of.
type FleetKind string

// Kinds of fleets: engines run models, services serve routes.
const (
	EngineFleet  FleetKind = "engine"
	ServiceFleet FleetKind = "service"
)

// Fleet is a named group of backend servers of the same kind.
type Fleet struct {
	Name   string    `json:"name"`
	Labels Labels    `json:"labels,omitempty"`
	Kind   FleetKind `json:"kind"`
	// ChecksFencing says that the fleet's engines reject orders with a stale
	// fencing token. It can be set only for engine fleets.
	ChecksFencing bool `json:"checks-fencing,omitempty"`
}

// ClientAccount is a customer whose callers share rate limits and access rights.
type ClientAccount struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Weight is the account's relative share under contention. 0 means 1.
	Weight int `json:"weight,omitempty"`
}

// Key is an API key with which callers authenticate as a client account. Only its
// keyed hash is stored.
type Key struct {
	ID      string `json:"id"`
	Labels  Labels `json:"labels,omitempty"`
	Account string `json:"account"`
	// Hash is the HMAC-SHA-256 of the key under the deployment secret, in hex.
	Hash string `json:"hash"`
}

// Route exposes a fleet of services to callers under a path prefix.
type Route struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Path is the path prefix, such as "/bookings". It matches whole segments.
	Path string `json:"path"`
	// Fleet is the name of the service fleet.
	Fleet string `json:"fleet"`
	// Open routes can be called without a key.
	Open bool `json:"open,omitempty"`
	// RepeatableMethods lists the HTTP methods whose calls can be repeated
	// safely. If empty, they are GET, HEAD and OPTIONS.
	RepeatableMethods []string `json:"repeatable-methods,omitempty"`
	// Accounts lists the labels that a client account must carry to use the
	// route. If empty, all accounts may use it.
	Accounts Labels `json:"accounts,omitempty"`
	// Timeout limits calls that state no deadline.
	Timeout Duration `json:"timeout,omitempty"`
}

// Range is the allowed number of replicas, with both bounds included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Priority is the priority class of requests.
type Priority string

// Priorities, most urgent first.
const (
	Interactive Priority = "interactive"
	Draft       Priority = "draft"
	Batch       Priority = "batch"
)

// Selector gives client accounts access to models, at a limited rate, and says how
// many replicas of these models to keep. It matches both by their labels.
type Selector struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Models matches models and adapters, Accounts client accounts, that carry
	// all the given labels. If empty, it matches all of them.
	Models   Labels `json:"models,omitempty"`
	Accounts Labels `json:"accounts,omitempty"`
	// Rate (tokens per second) and Burst (tokens) limit each matched account
	// over all its models together. Selectors that match the same account must
	// not state different values; 0 for both states no value.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Replicas limits the replicas of each matched model. If several selectors
	// match a model, the largest Min and the largest Max apply.
	Replicas Range `json:"replicas"`
	// Priority is the most urgent class that requests may ask for. Empty means
	// Interactive.
	Priority Priority `json:"priority,omitempty"`
	// IdleTimeout is how long a matched model stays loaded without requests. If
	// several selectors match a model, the longest applies; if none states one,
	// DefaultIdleTimeout does.
	IdleTimeout Duration `json:"idle-timeout,omitempty"`
}

// Duration is a time.Duration that is written as a string such as "5s" in JSON.
type Duration = drjson.Duration

// Limit is the rate limit of a client account, summed over all VMs.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}
