package dradmin

import "encoding/json"

// ObjectName names a declared object.
type ObjectName struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// ObjectDocument is a declared object as JSON.
type ObjectDocument struct {
	ObjectName
	Object json.RawMessage `json:"object"`
}

// Change is a set of objects to put and delete. It is accepted or rejected as
// a whole.
type Change struct {
	// ID makes the change idempotent: a repeated ID has the first result.
	ID string `json:"id"`
	// BasedOn is the configuration offset that the change was made against.
	BasedOn uint64 `json:"based-on"`
	// Author is set by the server to the name of the operator's token.
	Author  string           `json:"author,omitempty"`
	Puts    []ObjectDocument `json:"puts,omitempty"`
	Deletes []ObjectName     `json:"deletes,omitempty"`
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	Offset   uint64   `json:"offset"`
	Accepted bool     `json:"accepted"`
	Problems []string `json:"problems,omitempty"`
}

// Objects is the configuration in force on one VM.
type Objects struct {
	Offset  uint64           `json:"offset"`
	Objects []ObjectDocument `json:"objects"`
}

// InForce says how far each live VM has applied the configuration.
type InForce struct {
	VMs []VMOffset `json:"vms"`
}

// VMOffset is the configuration offset of one VM, or the error met when it
// was asked.
type VMOffset struct {
	VM     string `json:"vm"`
	Offset uint64 `json:"offset"`
	Error  string `json:"error,omitempty"`
}

// MinOffset returns the lowest offset, and the VM that has it. A VM that did
// not answer counts as offset 0.
func (f InForce) MinOffset() (uint64, string) {
	var vm string
	lowest := ^uint64(0)
	for _, v := range f.VMs {
		offset := v.Offset
		if v.Error != "" {
			offset = 0
		}
		if offset < lowest {
			lowest, vm = offset, v.VM
		}
	}
	if vm == "" {
		return 0, ""
	}
	return lowest, vm
}
