package drfleet

import "time"

//go:generate stringer -type=Kind -linecomment

// Kind says whether the answers of a route are streamed and whether its requests
// may be repeated.
type Kind int

// Kinds of routes. Requests on Safe routes may run more than once, those on
// Unsafe routes at most once. Stream routes answer with events; Resumable says
// whether their requests may be repeated.
const (
	Safe   Kind = iota // safe
	Unsafe             // unsafe
	Stream             // stream
)

// Target is a service that takes a share of a route's requests, in proportion to
// Weight.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests to a host whose path begins with a prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Homes are the regions in which requests may be served; all if there are none.
	Homes   []string
	Kind    Kind
	Targets []Target
	// Timeout is the time from a request's arrival until it must have been
	// answered, 0 for a default.
	Timeout time.Duration
	// Objective is the time from arrival within which the answer, or the first
	// event of a stream, should reach the client.
	Objective time.Duration
	// GapObjective is the longest pause that there should be between two events
	// of a stream.
	GapObjective time.Duration
	// Patience is how long clients wait for the next event of a stream, the
	// first one included, before they leave; 0 if that is not known.
	Patience time.Duration
	Priority int // 0 is the most urgent
	// Attempts is how often an idempotent request may be run, one attempt after
	// another. Other requests are run at most once.
	Attempts int
	Public   bool // no key is needed
	// Resumable is set if a stream that breaks off may continue on another
	// runner after the last event that the client has.
	Resumable bool
	// Affinity is set if requests should go where the beginning of their prompt is
	// kept.
	Affinity bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target returns the name of the service that takes a request, chosen by weight.
// draw is a random number, uniform in [0, 1).
func (r *Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * float64(total)
	for _, t := range r.Targets {
		if rest -= float64(t.Weight); rest < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
