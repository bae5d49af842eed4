package drplacement

// key names what can be loaded: a model, or an adapter on it.
type key struct{ model, adapter string }
