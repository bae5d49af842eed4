package drplacement

// Catalogue is the part of the configuration that placement needs. It is safe
// for concurrent use; each method answers from the newest configuration.
type Catalogue interface {
	// Offset returns the config offset that the answers come from.
	Offset() uint64
	// Models returns the names of the selected models, sorted.
	Models() []string
	// Model returns a model with the replicas that selectors give it.
	Model(name string) (ModelSpec, bool)
	Adapter(name string) (AdapterSpec, bool)
	// EngineFleets returns the names of the fleets of engines.
	EngineFleets() []string
	// ChecksFencing reports whether the engines of a fleet refuse orders
	// with an old fencing token.
	ChecksFencing(fleet string) bool
}
