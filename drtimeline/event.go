// Package drtimeline keeps the events of a process in a bounded ring and
// merges the events of several processes into one time line.
package drtimeline

import "time"

// Event is something that a process did. Zero fields do not apply.
type Event struct {
	// Stamp orders events over all processes; see HybridClock.
	Stamp Stamp `json:"stamp"`
	// VM is the entry VM on which the event happened.
	VM string `json:"vm"`
	// Name is one of the names in Descriptions.
	Name      string `json:"name"`
	RequestID string `json:"request-id,omitempty"`
	Account   string `json:"account,omitempty"`
	Model     string `json:"model,omitempty"`
	Backend   string `json:"backend,omitempty"`
	// Status is the HTTP status of a response.
	Status int `json:"status,omitempty"`
	// Reason is the suffix of a problem type or a cause, from a fixed set.
	Reason string `json:"reason,omitempty"`
	// Took is how long what the event ends has lasted.
	Took   time.Duration `json:"took-ns,omitempty"`
	Tokens int           `json:"tokens,omitempty"`
	// Detail holds further key=value pairs; never a key or a body.
	Detail string `json:"detail,omitempty"`
}

// Recorder takes events. Stamp and VM are filled in by the recorder.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that drops events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
