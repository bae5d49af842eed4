package drcapacity

// Fleet is the measured cost of entry VMs that run with their stand-ins in
// one process. The figures are per VM, except Served and Tokens.
type Fleet struct {
	Scenario
	// CPU is the processor time by role in percent of a core, as the mean over
	// the windows.
	CPU map[string]float64 `json:"cpu-percent"`
	// Control is the processor time of an entry VM without its callers'
	// connections, in percent of a core: the median over the windows, with the
	// lowest and the highest.
	Control float64 `json:"control-percent"`
	Low     float64 `json:"control-low"`
	High    float64 `json:"control-high"`
	// Memory is the live heap and the stacks in bytes, Goroutines the number of
	// goroutines.
	Memory     float64 `json:"memory-bytes"`
	Goroutines float64 `json:"goroutines"`
	// Bytes is the bytes sent and received per second by kind of connection:
	// "log", "vm-list" and "peers".
	Bytes map[string]float64 `json:"bytes-per-second"`
	// Reads and Appends are requests to the log per second.
	Reads   float64 `json:"log-reads-per-second"`
	Appends float64 `json:"log-appends-per-second"`
	// Served is the number of requests answered in full per second, Tokens
	// their completion tokens per second, both over all VMs.
	Served float64 `json:"served-per-second"`
	Tokens float64 `json:"tokens-per-second"`
}

// controlCPU returns the control cost in percent of a core. It adds to the roles
// of the control cost their part of the runtime's own work, mostly garbage
// collection, in proportion to the labelled work.
func (f Fleet) controlCPU() float64 {
	control, labelled := 0.0, 0.0
	for role, v := range f.CPU {
		if isControlRole(role) {
			control += v
		}
		if role != unlabelled {
			labelled += v
		}
	}
	if labelled == 0 {
		return 0
	}
	return control * (1 + f.CPU[unlabelled]/labelled)
}

// isControlRole reports whether a label belongs to the control cost. The stand-ins,
// the load generator and the relays are not part of an entry VM, and callers'
// connections are the requests' own cost.
func isControlRole(role string) bool {
	switch role {
	case sidePlatform, sideLoad, sideRelay, unlabelled, roleCallers, roleAdmin:
		return false
	default:
		return true
	}
}
