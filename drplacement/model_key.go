package drplacement

// modelKey identifies what can be loaded on a runner: a model, or an adapter on
// its base model. adapter is empty for a model.
type modelKey struct{ model, adapter string }
