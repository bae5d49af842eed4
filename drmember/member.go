// Package drmember keeps each VM's view of the other VMs, from the platform's
// lagging list and from its own probes.
package drmember

//go:generate stringer -type=State -linecomment

// State is the observed state of an entry VM.
type State int

// States of a member.
const (
	Alive       State = iota // alive
	Suspect                  // suspect
	Unreachable              // unreachable
	Leaving                  // leaving
)

// Member is an entry VM as seen from here.
type Member struct {
	VM          string
	Zone        string
	Address     string
	Incarnation uint64
	State       State
}

// Backend is a backend server VM from the platform's list.
type Backend struct {
	VM      string
	Fleet   string
	Zone    string
	Address string
	Leaving bool
}

// View answers questions about the VMs. It is safe for concurrent use.
type View interface {
	// Self returns this process.
	Self() Member
	// Candidates returns the members, this one included, that may be chosen
	// as home or owner: alive or suspect, sorted by VM.
	Candidates() []Member
	// Members returns all known entry VMs, sorted by VM.
	Members() []Member
	// Gone reports whether the platform's list has not shown vm for longer
	// than the list's lag, so that the VM certainly no longer exists. It is
	// false for a VM that the list never showed.
	Gone(vm string) bool
	// Backends returns the backend servers of a fleet, sorted by VM.
	Backends(fleet string) []Backend
}
