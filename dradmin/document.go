package dradmin

import "encoding/json"

// ObjectName identifies an object of the configuration.
type ObjectName struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// ObjectDocument is an object of the configuration with its content as JSON.
type ObjectDocument struct {
	ObjectName
	Object json.RawMessage `json:"object"`
}

// Change is a configuration change: objects to put (create or replace) and to delete.
// It is accepted or rejected as a whole.
type Change struct {
	// ID makes the change idempotent: resending a change with the same ID gives the
	// result of the first one. It must not be empty.
	ID string `json:"id"`
	// BasedOn is the configuration offset that the change was made against.
	BasedOn uint64 `json:"based-on"`
	// Author is the name of the operator. The server sets it according to the
	// operator's token and ignores the value in the request.
	Author  string           `json:"author,omitempty"`
	Puts    []ObjectDocument `json:"puts,omitempty"`
	Deletes []ObjectName     `json:"deletes,omitempty"`
}

// ChangeResult says whether a change was accepted, and at which offset of the
// configuration. Problems are the reasons of a rejection.
type ChangeResult struct {
	Offset   uint64   `json:"offset"`
	Accepted bool     `json:"accepted"`
	Problems []string `json:"problems,omitempty"`
}

// Objects is the configuration that one VM uses, with its offset.
type Objects struct {
	Offset  uint64           `json:"offset"`
	Objects []ObjectDocument `json:"objects"`
}

// InForce holds the offset of the configuration that each live VM uses. A change is in
// force when no VM has a lower offset than the change.
type InForce struct {
	VMs []VMOffset `json:"vms"`
}

// VMOffset is the configuration offset of one VM. If the VM could not be asked, Error
// says why.
type VMOffset struct {
	VM     string `json:"vm"`
	Offset uint64 `json:"offset"`
	Error  string `json:"error,omitempty"`
}

// MinOffset returns the lowest configuration offset of all VMs and a VM that has it. A
// VM with an error counts as offset 0. Without VMs the result is 0 and an empty name.
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
