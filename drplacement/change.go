package drplacement

// Change names the runner and the model that an accepted record concerns. Both
// fields are empty if anything may have changed, such as after a snapshot was
// restored.
type Change struct {
	Runner string
	Model  string
}
