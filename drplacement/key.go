package drplacement

// modelKey names what can be loaded: a model, or an adapter on it.
type modelKey struct{ model, adapter string }
