package drmember

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// methodProbe is the name of the peer call that carries a probe.
	methodProbe = "Probe"
	// pollInterval is the time between reads of the VM list, ± 5 %.
	pollInterval = 2 * time.Second
	// pollTimeout bounds one read of the VM list.
	pollTimeout = 2 * time.Second
	// probeInterval is the time between the probes that one process starts,
	// ± 5 %. Each goes to the next VM of the round.
	probeInterval = time.Second
	// directTimeout bounds a direct probe, and indirectTimeout the indirect
	// probes that follow it. Together they take less than two probe intervals.
	directTimeout   = 500 * time.Millisecond
	indirectTimeout = time.Second
	// indirectProbers is the number of VMs that are asked to probe a VM that
	// did not answer a direct probe.
	indirectProbers = 2
	// suspectTimeout is how long a suspect VM has to refute the suspicion before
	// it counts as unreachable.
	suspectTimeout = 3 * time.Second
	// maxObservations bounds the observations in one message.
	maxObservations = 6
	// maxObservationsToUnlisted is the bound in messages to VMs that the VM list
	// does not show, which may be unable to read the list.
	maxObservationsToUnlisted = 64
	// sendsExhausted is a number of sends above any limit: an observation that
	// has it is sent only to VMs that the list does not show.
	sendsExhausted = 1 << 30
	// retransmitFactor times log2 of the number of members is how often a VM
	// sends the same observation. With 3 it is likely to reach all members; the
	// remaining ones find out by their own probes.
	retransmitFactor = 3
	// forgetUnlistedAfter is how long a VM that the list never showed is
	// unreachable before it is forgotten.
	forgetUnlistedAfter = time.Minute
	// forgetGoneAfter is how long Gone reports a VM as gone. It is well beyond the
	// longest outage of the log, after which other VMs take over what the gone
	// VM held.
	forgetGoneAfter = 7 * 24 * time.Hour
	// leaveFanOut bounds the concurrent announcements of Leave.
	leaveFanOut = 16
	// defaultListLag and defaultListMargin together bound how long the list may
	// not show a VM that exists.
	defaultListLag    = 10 * time.Second
	defaultListMargin = 5 * time.Second
)

// Config configures a Membership.
type Config struct {
	// Self is this process, with VM, zone, address and incarnation. The
	// incarnation must be above 0 and grow with each restart of the VM's process.
	Self Member
	// Lister reads the platform's VM list.
	Lister Lister
	// Peers calls other VMs. It must resolve their addresses with
	// Membership.Address, which also knows the seeds.
	Peers drpeer.Caller
	// Seeds are addresses ("host:port") of entry VMs that are probed while no
	// other VM is known to be reachable. A new VM is found through them before
	// the list shows it. May be empty.
	Seeds []string
	// Clock is the system's clock if nil.
	Clock drclock.Clock
	// Events receives the changes of members' states; they are dropped if it is
	// nil.
	Events drtimeline.Recorder
	// ListLag bounds the delay of the list, and ListMargin is a safety margin. A
	// VM is gone when the list has not shown it for longer than their sum. 0
	// means 10 s and 5 s.
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
