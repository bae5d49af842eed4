package drconfig

// Entitlement says how a client account may use a model or adapter.
type Entitlement struct {
	// Priority is the most urgent class that requests may claim.
	Priority Priority
	// Model is the model to load: the base of an adapter, else the model.
	Model string
	// Adapter is empty for a model.
	Adapter string
}
