// Package drcrash finds requests that crash the runners that run them, and parts of
// prompts that do so in whichever request they are. Each VM keeps a Ledger of the
// crashes that it has seen; the controller's Tally adds them up for the whole fleet
// and tells the VMs which requests to refuse.
package drcrash

import (
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

const (
	// MaxCrashes is the number of runners that a request, or the requests with one
	// part in their prompts, may have crashed without ever having succeeded, before
	// they are refused. Requests that merely ran on crashing runners rarely reach
	// it: one success clears them and the parts of their prompts.
	MaxCrashes = 3
	// minPartRequests is the number of different requests among those crashes from
	// which a part of their prompts can be the cause.
	minPartRequests = 2
	// vouchTime is how long VMs have to report that requests with a part succeed.
	vouchTime = 700 * time.Millisecond
	// partSuccessTTL is how long a success speaks for the parts of its prompt, and
	// requestSuccessTTL for the request. They are short because runners may begin to
	// crash with their next version.
	partSuccessTTL    = 10 * time.Second
	requestSuccessTTL = 2 * time.Second
	// recordTTL is how long a crash is remembered.
	recordTTL = time.Minute
	// maxRecords bounds each kind of things that a Ledger or a Tally remembers.
	maxRecords = 4096
)

// Identity tells what may make a request crash its runners: the request as a whole,
// or one of the parts of its prompt, in order, that other requests may share.
type Identity struct {
	Request drrequest.Fingerprint
	Parts   []drrequest.Fingerprint
}

// Causes returns the fingerprints of the request and of its parts.
func (i Identity) Causes() []drrequest.Fingerprint {
	return append([]drrequest.Fingerprint{i.Request}, i.Parts...)
}

// Crash is one runner that ended while it ran a request.
type Crash struct {
	Identity
	// Runner identifies the incarnation of the runner.
	Runner string
}

// Report is what a VM tells the controller.
type Report struct {
	Crashes []Crash
	// Cleared are requests that have succeeded after a crash, and parts of prompts
	// of requests that have succeeded.
	Cleared []drrequest.Fingerprint
	// Refused are the causes for which the VM has refused requests.
	Refused []drrequest.Fingerprint
	// Blocks are those that the VM knows. They are set only in a report to a
	// controller that may know none.
	Blocks []Block
}

// Verdict is what the controller tells a VM.
type Verdict struct {
	// Term is the controller's. Revision grows with the changes of Blocks within a
	// term.
	Term, Revision uint64
	Blocks         []Block
	// Suspects are causes that will be blocked, or have been, unless a VM reports that
	// requests with them succeed.
	Suspects []drrequest.Fingerprint
}

// trimmed returns a list without its older half if it has maxRecords elements.
func trimmed[T any](list []T) []T {
	if len(list) < maxRecords {
		return list
	}
	return slices.Clone(list[len(list)/2:])
}
