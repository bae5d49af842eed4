package drmember

import "context"

// List is one version of the platform's VM list.
type List struct {
	Version uint64     `json:"version"`
	VMs     []ListedVM `json:"vms"`
}

// Lister reads the platform's VM list.
type Lister interface {
	// VMs returns the list, or changed == false if its version is still the
	// given one. Version 0 always gives the list.
	VMs(ctx context.Context, version uint64) (list List, changed bool, err error)
}
