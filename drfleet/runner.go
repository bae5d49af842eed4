package drfleet

import "slices"

// Replica is a model that a runner holds, with the adapters loaded on it.
type Replica struct {
	Model    string
	Version  int
	Adapters []string
}

// HasAdapter reports whether the adapter is loaded; the empty name always is.
func (r Replica) HasAdapter(name string) bool {
	return name == "" || slices.Contains(r.Adapters, name)
}

// Runner is one incarnation of a backend server, as last described.
type Runner struct {
	ID      string
	Service string
	Address string // "ip:port"
	Zone    string
	// Started is the start of this incarnation in Unix milliseconds. A runner
	// that restarts under its ID has a later one.
	Started  int64
	Slots    int
	Draining bool
	// Beat is the number of this description among those of the incarnation.
	Beat int
	// Orders is the number of orders accepted since Started, 0 if not known.
	Orders   int
	Replicas []Replica
	// InMemory and OnDisk name models whose weights the runner has copies of.
	InMemory []string
	OnDisk   []string
}

// Replica returns the runner's replica of a model.
func (r *Runner) Replica(model string) (Replica, bool) {
	for _, p := range r.Replicas {
		if p.Model == model {
			return p, true
		}
	}
	return Replica{}, false
}

// Holds reports whether the runner can run requests for the model and adapter.
// Every runner holds the empty model, which plain services are asked for.
func (r *Runner) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	p, ok := r.Replica(model)
	return ok && p.HasAdapter(adapter)
}
