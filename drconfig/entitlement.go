package drconfig

// Entitlement says how a client account may use a model or adapter; see
// Config.Allowed.
type Entitlement struct {
	// Priority is the most urgent class that requests may ask for.
	Priority Priority
	// Model is the name of the model to load. For an adapter it is the base.
	Model string
	// Adapter is the name of the adapter, empty if a model was asked for.
	Adapter string
}
