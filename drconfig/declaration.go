package drconfig

import "github.com/dotterelridge/dotterelridge/drjson"

// Labels are attached to every declared object and matched by selectors.
type Labels map[string]string

// Model is a language model.
type Model struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Fleet is the fleet of engines that can load the model.
	Fleet string `json:"fleet"`
	// Bytes is the memory that one replica takes.
	Bytes int64 `json:"bytes" unit:"bytes"`
	// DefaultMaxTokens bounds the output of a request that names no bound,
	// MaxTokens that of any request.
	DefaultMaxTokens int `json:"default-max-tokens"`
	MaxTokens        int `json:"max-tokens"`
}

// Adapter is a small set of weights on top of a loaded model.
type Adapter struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	Base   string `json:"base"`
	Bytes  int64  `json:"bytes" unit:"bytes"`
}

// FleetKind says what a fleet's backend servers are.
type FleetKind string

// Kinds of fleets.
const (
	EngineFleet  FleetKind = "engine"
	ServiceFleet FleetKind = "service"
)

// Fleet is a group of backend servers.
type Fleet struct {
	Name   string    `json:"name"`
	Labels Labels    `json:"labels,omitempty"`
	Kind   FleetKind `json:"kind"`
	// ChecksFencing says that the engines reject orders with a stale fencing
	// token.
	ChecksFencing bool `json:"checks-fencing,omitempty"`
}

// ClientAccount is a customer.
type ClientAccount struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Weight is the account's share under contention; 1 if not stated.
	Weight int `json:"weight,omitempty"`
}

// Key admits callers for a client account. Only the keyed hash is stored.
type Key struct {
	ID      string `json:"id"`
	Labels  Labels `json:"labels,omitempty"`
	Account string `json:"account"`
	// Hash is the hex HMAC-SHA-256 of the key under the deployment secret.
	Hash string `json:"hash"`
}

// Route exposes a fleet of plain services to callers.
type Route struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Path is a path prefix such as "/bookings".
	Path  string `json:"path"`
	Fleet string `json:"fleet"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Methods that may be repeated safely; GET, HEAD and OPTIONS if empty.
	RepeatableMethods []string `json:"repeatable-methods,omitempty"`
	// Accounts matches the client accounts that may use the route; an empty
	// match admits all.
	Accounts Labels `json:"accounts,omitempty"`
	// Timeout is the default deadline of a call.
	Timeout Duration `json:"timeout,omitempty"`
}

// Range bounds a number of replicas.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Priority is the urgency class of requests.
type Priority string

// Priorities, most urgent first.
const (
	Interactive Priority = "interactive"
	Draft       Priority = "draft"
	Batch       Priority = "batch"
)

// Selector says which models stay available for which client accounts, at
// what rate.
type Selector struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Models and Accounts match objects that carry all the given labels.
	// An empty match is carried by every object.
	Models   Labels `json:"models,omitempty"`
	Accounts Labels `json:"accounts,omitempty"`
	// Rate is in tokens per second, Burst in tokens, for each matched
	// account over all its models. Selectors that match the same account
	// must not state different values; 0 for both states none.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Replicas bounds the replicas of each matched model; the largest Max
	// and Min over all selectors apply.
	Replicas Range `json:"replicas"`
	// Priority is the most urgent class that requests may claim;
	// Interactive if empty.
	Priority Priority `json:"priority,omitempty"`
	// IdleTimeout unloads a model that had no request for so long; the
	// longest over all selectors applies.
	IdleTimeout Duration `json:"idle-timeout,omitempty"`
}

// Duration is a time.Duration written as "5s" in JSON.
type Duration = drjson.Duration

// Limit is the token limit of a client account over all VMs together.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}
