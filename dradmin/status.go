package dradmin

// Status is what one VM knows and does.
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

// MemberStatus is an entry VM as seen from the reporting VM.
type MemberStatus struct {
	VM    string `json:"vm"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// RunnerStatus is a backend server that runs models.
type RunnerStatus struct {
	Runner string `json:"runner"`
	Owner  string `json:"owner"`
	Fence  uint64 `json:"fence"`
	// Memory figures are in bytes and known only to the owner.
	MemoryBytes int64    `json:"memory-bytes,omitempty"`
	UsedBytes   int64    `json:"used-bytes,omitempty"`
	Loaded      []string `json:"loaded,omitempty"`
}

// ModelStatus is the placement of a model.
type ModelStatus struct {
	Model   string   `json:"model"`
	Decided int      `json:"decided"`
	Rights  []string `json:"rights"`
}

// LimitStatus is a client account's limit and the shares held here.
type LimitStatus struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Shares  int     `json:"shares-held"`
}

// QueueStatus is the queue of a model on the reporting VM.
type QueueStatus struct {
	Model   string `json:"model"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}
