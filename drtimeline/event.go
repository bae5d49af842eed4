// Package drtimeline records the events of a process in a bounded ring buffer and
// merges the events of several processes into one time line.
package drtimeline

import "time"

// Event is one thing that happened in a process, such as a load or a refusal. A
// zero field means that the field does not apply to the event.
type Event struct {
	// Stamp orders the events of all processes; see HybridClock.
	Stamp Stamp `json:"stamp"`
	// VM is the name of the entry VM on which the event happened.
	VM string `json:"vm"`
	// Name is one of the names in Descriptions.
	Name      string `json:"name"`
	RequestID string `json:"request-id,omitempty"`
	Account   string `json:"account,omitempty"`
	Model     string `json:"model,omitempty"`
	Backend   string `json:"backend,omitempty"`
	// Status is the HTTP status of a response.
	Status int `json:"status,omitempty"`
	// Reason is the suffix of a problem type or another cause, always from a fixed
	// set.
	Reason string `json:"reason,omitempty"`
	// Took is the duration of the operation that the event ends, such as a wait or
	// a load; Descriptions says for each event where it starts.
	Took   time.Duration `json:"took-ns,omitempty"`
	Tokens int           `json:"tokens,omitempty"`
	// Detail holds further key=value pairs. It must not contain a caller's key or a
	// request or response body.
	Detail string `json:"detail,omitempty"`
}

// Recorder stores events. It sets their fields Stamp and VM.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record implements Recorder. It does nothing.
func (Discard) Record(Event) {}
