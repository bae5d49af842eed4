package drmember

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// methodProbe is the method under which peers probe each other.
	methodProbe = "Probe"
	// pollInterval is the interval between reads of the VM list.
	pollInterval = 2 * time.Second
	// pollTimeout bounds one read of the VM list.
	pollTimeout = 2 * time.Second
	// probeInterval is the interval between probes of one VM.
	probeInterval = time.Second
	// directTimeout leaves an indirect probe time within two intervals.
	directTimeout   = 500 * time.Millisecond
	indirectTimeout = time.Second
	// indirectProbers is the number of VMs asked to probe a VM that does not answer.
	indirectProbers = 2
	// suspectTimeout is how long a VM may refute before it is unreachable.
	suspectTimeout = 3 * time.Second
	// maxObservations bounds the observations in one message.
	maxObservations = 6
	// maxObservationsToUnlisted replaces it in messages to VMs that are not listed.
	maxObservationsToUnlisted = 64
	// sendsExhausted as the number of sends keeps an observation out of messages.
	sendsExhausted = 1 << 30
	// retransmitFactor times log2 of the number of members is how often a VM
	// sends the same observation; 3 reaches all members with a probability
	// that leaves the rest to the following probes.
	retransmitFactor = 3
	// forgetUnlistedAfter is after how long an unreachable VM that the list never
	// showed is forgotten.
	forgetUnlistedAfter = time.Minute
	// forgetGoneAfter is for how long a gone VM is reported as gone: well beyond
	// the longest outage of the log, after which its holdings are taken over.
	forgetGoneAfter = 7 * 24 * time.Hour
	// leaveFanOut is the number of concurrent announcements in Leave.
	leaveFanOut = 16
	// defaultListLag and defaultListMargin bound how long the list may fail
	// to show a VM that exists.
	defaultListLag    = 10 * time.Second
	defaultListMargin = 5 * time.Second
)

// Config configures a Membership.
type Config struct {
	// Self is this process, with VM, zone, address and incarnation.
	Self Member
	// Lister reads the platform's VM list.
	Lister Lister
	// Peers calls other VMs; Membership.Address gives it their addresses.
	Peers drpeer.Caller
	// Seeds are addresses ("host:port") of entry VMs to announce this process
	// to while no other VM is known to be reachable.
	Seeds []string
	Clock drclock.Clock
	// Events receives changes of members' states; none if nil.
	Events drtimeline.Recorder
	// ListLag bounds the delay of the list, ListMargin is added to it before
	// a VM is gone. Defaults: 10 s and 5 s.
	ListLag, ListMargin time.Duration
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = drclock.System{}
	}
	if c.Events == nil {
		c.Events = drtimeline.Discard{}
	}
	if c.ListLag == 0 {
		c.ListLag = defaultListLag
	}
	if c.ListMargin == 0 {
		c.ListMargin = defaultListMargin
	}
	return c
}
