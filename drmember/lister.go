package drmember

import "context"

// List is one version of the platform's VM list. It may lag behind reality by
// Config.ListLag.
type List struct {
	Version uint64     `json:"version"`
	VMs     []ListedVM `json:"vms"`
}

// Lister reads the platform's VM list. A Membership reads it from one goroutine.
type Lister interface {
	// VMs returns the list if its version differs from the given one, and
	// changed == false otherwise. Version 0 always returns the list.
	VMs(ctx context.Context, version uint64) (list List, changed bool, err error)
}
