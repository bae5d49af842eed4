// Package drmember keeps each entry VM's view of the other VMs. It combines the
// platform's VM list, which lags, with probes in the manner of the SWIM protocol:
// every process probes the other entry VMs in turn, asks others to probe a VM
// that doesn't answer, and sends its observations along with probes and replies.
// Probes decide whether a VM is reachable; only the list can show that it is gone.
package drmember

//go:generate stringer -type=State -linecomment

// State is the state of an entry VM as observed by the members.
type State int

// States of a member. An alive or suspect member may be given new work. A suspect
// one didn't answer probes and becomes unreachable unless it refutes that in
// time. A leaving one has announced that it stops, or the list says so.
const (
	Alive       State = iota // alive
	Suspect                  // suspect
	Unreachable              // unreachable
	Leaving                  // leaving
)

// Member is an entry VM as this process sees it. Address is "host:port".
// Incarnation identifies the process on the VM and grows with each restart; it is
// 0 while the VM is known only from the list.
type Member struct {
	VM          string
	Zone        string
	Address     string
	Incarnation uint64
	State       State
}

// Backend is a VM with a backend server, as the platform's list shows it. Its
// reachability is not probed.
type Backend struct {
	VM      string
	Fleet   string
	Zone    string
	Address string
	Leaving bool
}

// View is read access to the known VMs. It is safe for concurrent use.
type View interface {
	// Self returns this process with its current state.
	Self() Member
	// Candidates returns the alive and suspect members, sorted by VM and
	// including this one unless it is leaving. They may be chosen as home or owner.
	Candidates() []Member
	// Members returns all known entry VMs including this one and those that
	// are unreachable or leaving, sorted by VM.
	Members() []Member
	// Gone reports whether the platform's list has not shown vm for longer
	// than the list's lag, so that the VM certainly no longer exists. It is
	// false for a VM that the list never showed.
	Gone(vm string) bool
	// Backends returns the backend servers of a fleet, sorted by VM.
	Backends(fleet string) []Backend
}
