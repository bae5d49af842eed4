package drplacement

// Right allows one replica of a model on a runner.
type Right struct {
	Runner string
	// Grant is the offset of the grant record and identifies the right.
	Grant uint64
	// Excess says that the decided number has fallen below the number of
	// rights and that this right must be released.
	Excess bool
}
