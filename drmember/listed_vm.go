package drmember

// Roles and states in the platform's VM list.
const (
	roleEntry    = "entry"
	roleBackend  = "backend"
	stateLeaving = "leaving"
)

// ListedVM is a VM in the platform's list.
type ListedVM struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Fleet   string `json:"fleet"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}
