package dradmin

// Status is the state of one entry VM and its view of the fleet. Reason says why the VM
// is not ready. Freshness is the name of a drlog.FreshnessState. ConfigOffset and
// PlacementOffset are the offsets up to which the VM has applied the records of the
// configuration and of the placement of models on runners.
type Status struct {
	VM              string         `json:"vm"`
	Zone            string         `json:"zone"`
	Version         string         `json:"version"`
	Ready           bool           `json:"ready"`
	Reason          string         `json:"reason,omitempty"`
	Freshness       string         `json:"freshness"`
	ConfigOffset    uint64         `json:"config-offset"`
	PlacementOffset uint64         `json:"placement-offset"`
	Members         []MemberStatus `json:"members"`
	Runners         []RunnerStatus `json:"runners"`
	Models          []ModelStatus  `json:"models"`
	Limits          []LimitStatus  `json:"limits"`
	Queues          []QueueStatus  `json:"queues"`
}

// MemberStatus is the state of an entry VM as seen from the reporting VM.
type MemberStatus struct {
	VM    string `json:"vm"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// RunnerStatus is the state of a runner, a backend server that runs models. Owner is
// the entry VM that controls the runner, and Fence the fencing token of its ownership.
type RunnerStatus struct {
	Runner string `json:"runner"`
	Owner  string `json:"owner"`
	Fence  uint64 `json:"fence"`
	// MemoryBytes, UsedBytes and Loaded are known only to the owner. Another VM
	// reports them as zero.
	MemoryBytes int64    `json:"memory-bytes,omitempty"`
	UsedBytes   int64    `json:"used-bytes,omitempty"`
	Loaded      []string `json:"loaded,omitempty"`
}

// ModelStatus is the placement of a model. Decided is the maximum number of replicas
// that was decided, 0 if none was. Rights names the runners that may hold a replica.
type ModelStatus struct {
	Model   string   `json:"model"`
	Decided int      `json:"decided"`
	Rights  []string `json:"rights"`
}

// LimitStatus is the token limit of a client account (Rate in tokens per second, Burst
// in tokens) and the number of the account's shares that the reporting VM holds.
type LimitStatus struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Shares  int     `json:"shares-held"`
}

// QueueStatus counts the requests for a model that wait or run on the reporting VM.
type QueueStatus struct {
	Model   string `json:"model"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}
