package drplacement

// Change names what an accepted record or a restored snapshot changed. Both
// fields are empty if anything may have changed.
type Change struct {
	Runner string
	Model  string
}
