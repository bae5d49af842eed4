// Package drtimeline keeps the events of a process in a bounded ring and
// merges the events of several processes into one time line.
package drtimeline

// Event is something that a process did. Zero fields do not apply.
type Event struct {
	// Stamp orders events over all processes; see HybridClock.
	Stamp Stamp `json:"stamp"`
	// VM is the entry VM on which the event happened.
	VM string `json:"vm"`
	// Name is a stable kebab-case name such as "load-started".
	Name      string `json:"name"`
	RequestID string `json:"request-id,omitempty"`
	Account   string `json:"account,omitempty"`
	Model     string `json:"model,omitempty"`
	Backend   string `json:"backend,omitempty"`
	// Detail holds further key=value pairs; never a key or a body.
	Detail string `json:"detail,omitempty"`
}

// Recorder takes events. Stamp and VM are filled in by the recorder.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
