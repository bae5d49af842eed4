package drplacement

// Catalogue is the part of the configuration that placement needs. It is safe
// for concurrent use. Each method answers from the newest configuration, so the
// answers of two calls can come from different ones.
type Catalogue interface {
	// Offset returns the offset in the config stream of the newest applied
	// record.
	Offset() uint64
	// Models returns the names of the models that at least one selector places,
	// sorted.
	Models() []string
	// Model returns a model with the numbers of replicas that its selectors
	// give it, or false if it is not declared.
	Model(name string) (ModelSpec, bool)
	// Adapter returns an adapter, or false if it is not declared.
	Adapter(name string) (AdapterSpec, bool)
	// EngineFleets returns the names of the fleets whose backend servers are
	// runners.
	EngineFleets() []string
	// ChecksFencing reports whether the engines of a fleet refuse orders with
	// an outdated fencing token.
	ChecksFencing(fleet string) bool
}
