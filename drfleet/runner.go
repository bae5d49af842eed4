package drfleet

import (
	"slices"
	"time"
)

// Replica is a model that is loaded on a runner, with the adapters loaded for it.
type Replica struct {
	Model    string
	Version  int
	Adapters []string
}

// HasAdapter reports whether the adapter is loaded. The empty name stands for
// the model without an adapter and is always reported as loaded.
func (r Replica) HasAdapter(name string) bool {
	return name == "" || slices.Contains(r.Adapters, name)
}

// Runner is the last known description of one incarnation of a backend server. A
// new incarnation begins when the server restarts.
type Runner struct {
	ID      string
	Service string
	Address string // "ip:port"
	Zone    string
	// Version is that of the server's software, "" if it states none. What two versions make
	// does not fit into one stream.
	Version string
	// Started is when this incarnation started, in Unix milliseconds. It tells
	// incarnations under the same ID apart.
	Started  int64
	Slots    int  // requests that the runner runs at once, used for plain services
	Draining bool // takes no new requests
	// Beat is the sequence number of this description among those that the
	// incarnation wrote.
	Beat int
	// Orders is how many of the controller's orders, such as to load a model,
	// the runner has accepted since Started; 0 if not known.
	Orders   int
	Replicas []Replica
	// Cold is how long the runner remains cold after it wrote this description.
	Cold time.Duration
	// InMemory and OnDisk name models whose weights the runner has copies of in
	// host memory and on disk, from where they load faster.
	InMemory []string
	OnDisk   []string
}

// WithoutCold returns a copy of the runner that does not say how long it remains cold,
// because that holds only when it is said.
func (r *Runner) WithoutCold() *Runner {
	if r.Cold == 0 {
		return r
	}
	warm := *r
	warm.Cold = 0
	return &warm
}

// Replica returns the runner's replica of a model, and false if it has none.
func (r *Runner) Replica(model string) (Replica, bool) {
	for _, p := range r.Replicas {
		if p.Model == model {
			return p, true
		}
	}
	return Replica{}, false
}

// Holds reports whether the model and the adapter are loaded. The empty model,
// which stands for requests to plain services, is held by every runner.
func (r *Runner) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	p, ok := r.Replica(model)
	return ok && p.HasAdapter(adapter)
}

// WithDraining returns the description of the runner with Draining set.
func (r *Runner) WithDraining() *Runner {
	draining := *r
	draining.Draining = true
	return &draining
}
