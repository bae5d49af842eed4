// Package drplacement decides which model may be loaded on which runner, and loads
// it there.
//
// Rights and the ownership of runners are records of the placement stream,
// folded by Ledger. Owner keeps the runners that this VM owns, Planner grants
// rights, Slots shares the weight store, Waker serves entry VMs.
//
// The decided number of replicas is part of the placement stream, so that the
// fold does not depend on how far a VM has read the config stream: decide and
// grant records carry the maximum and the config offset that it comes from,
// and the record with the highest config offset sets the number.
package drplacement
