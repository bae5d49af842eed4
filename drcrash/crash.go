// Package drcrash finds requests that crash the runners that run them. Each VM
// keeps a Ledger of the crashes that it has seen; the controller's Tally adds them
// up for the whole fleet and tells the VMs which requests to refuse.
package drcrash

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

const (
	// MaxCrashes is the number of runners that a request may have crashed, without
	// ever having succeeded, before it is refused. Requests that merely ran on
	// crashing runners rarely reach it: one success clears them.
	MaxCrashes = 3
	// recordTTL is how long a request is remembered after its last crash.
	recordTTL = time.Minute
	// maxRecords bounds the requests that a Ledger or a Tally remembers.
	maxRecords = 4096
)

// Crash is one runner that ended while it ran a request.
type Crash struct {
	Request drrequest.Fingerprint
	// Runner identifies the incarnation of the runner.
	Runner string
}

// Report is what a VM tells the controller.
type Report struct {
	Crashes []Crash
	// Cleared are requests that have succeeded after a crash.
	Cleared []drrequest.Fingerprint
	// Refused are blocked requests that the VM has refused.
	Refused []drrequest.Fingerprint
	// Blocks are those that the VM knows. They are set only in a report to a
	// controller that may know none.
	Blocks []Block
}

// trimmed returns a list without its older half if it has maxRecords elements.
func trimmed[T any](list []T) []T {
	if len(list) < maxRecords {
		return list
	}
	return append([]T(nil), list[len(list)/2:]...)
}
