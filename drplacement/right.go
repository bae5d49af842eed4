package drplacement

// Right allows one replica of a model on a runner. The ledger lists rights by
// model.
type Right struct {
	Runner string
	// Grant is the offset of the grant record and identifies the right.
	Grant uint64
	// Excess is set if the decided number of replicas was lowered below the
	// number of rights and this right must be released.
	Excess bool
}
