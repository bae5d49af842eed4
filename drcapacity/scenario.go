package drcapacity

// Scenario is the size of a fleet and its load. Scenarios of one group differ in
// one size.
type Scenario struct {
	Group   string `json:"group"`
	VMs     int    `json:"vms"`
	Runners int    `json:"runners"`
	// Models and Accounts are declared in addition to the deployment's.
	Models   int `json:"models,omitempty"`
	Accounts int `json:"accounts,omitempty"`
	// Changes is accepted configuration changes per second.
	Changes float64 `json:"changes-per-second,omitempty"`
	// Rate is requests per second over all VMs, with Answer tokens each.
	Rate   float64 `json:"requests-per-second,omitempty"`
	Answer int     `json:"answer-tokens,omitempty"`
}

const (
	deploymentName = "fjordsnor"
	defaultRunners = 9
	// ratePerVM in requests per second and busyAnswer in tokens are about a
	// twentieth of the target's load on one VM, because all VMs, engines and
	// callers share this machine.
	ratePerVM  = 4
	busyAnswer = 32
)

// scenarios returns all scenarios, with those of a group next to each other.
func scenarios() []Scenario {
	var ss []Scenario
	for _, n := range []int{4, 16, 32, 64} {
		ss = append(ss, Scenario{Group: "idle", VMs: n, Runners: defaultRunners})
	}
	for _, n := range []int{16, 64, 144} {
		ss = append(ss, Scenario{Group: "runners", VMs: 4, Runners: n})
	}
	for _, n := range []int{60, 120, 240} {
		ss = append(ss, Scenario{Group: "models", VMs: 4, Runners: defaultRunners, Models: n})
	}
	for _, n := range []int{20, 80, 320} {
		ss = append(ss, Scenario{Group: "accounts", VMs: 4, Runners: defaultRunners, Accounts: n})
	}
	for _, n := range []float64{1, 4, 16} {
		ss = append(ss, Scenario{Group: "changes", VMs: 4, Runners: defaultRunners, Changes: n})
	}
	for _, n := range []int{4, 16, 32} {
		ss = append(ss, Scenario{Group: "busy", VMs: n, Runners: defaultRunners, Rate: float64(ratePerVM * n), Answer: busyAnswer})
	}
	for _, n := range []float64{10, 40, 160} {
		ss = append(ss, Scenario{Group: "requests", VMs: 4, Runners: defaultRunners, Rate: n, Answer: 1})
	}
	for _, n := range []int{16, 64, 256} {
		ss = append(ss, Scenario{Group: "tokens", VMs: 4, Runners: defaultRunners, Rate: 20, Answer: n})
	}
	return ss
}
