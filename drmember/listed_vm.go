package drmember

// Roles and states in the platform's VM list that this package acts on. Other
// roles are ignored, and any other state means that the VM is not leaving.
const (
	roleEntry    = "entry"
	roleBackend  = "backend"
	stateLeaving = "leaving"
)

// ListedVM is a VM in the platform's list. Fleet is used only for the role
// "backend". Address is "host:port".
type ListedVM struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Fleet   string `json:"fleet"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}
