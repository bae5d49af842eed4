package drfleet

import "time"

//go:generate stringer -type=Kind -linecomment

// Kind says how a route's requests are answered and whether they may be
// repeated.
type Kind int

// Kinds of routes.
const (
	Safe   Kind = iota // safe
	Unsafe             // unsafe
	Stream             // stream
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests below a path prefix of a host are served.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Objective is the time within which the answer, or the first event of a
	// stream, should reach the caller.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream.
	GapObjective time.Duration
	Priority     int // 0 is the most urgent
	// Attempts is the number of runners that may run one request.
	Attempts int
	Public   bool // no key is needed
	// Resumable streams may continue on another runner after their last event.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target returns the service for a request, given a number drawn uniformly
// from [0, 1).
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
