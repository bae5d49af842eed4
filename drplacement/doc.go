// Package drplacement decides which model may be loaded on which runner, and
// loads it there.
//
// The placement stream of the log holds two kinds of decisions: rights, each of
// which allows one replica of a model on a runner, and the ownership of runners
// by entry VMs. Ledger folds these records into the current state. On each
// entry VM, Owner controls the runners that the VM owns, Planner grants rights,
// Slots limits concurrent loads from the weight store, and Waker has models
// loaded for callers.
//
// The decided number of replicas of a model is part of the placement stream, so
// that the fold does not depend on how far a VM has read the config stream:
// decide and grant records carry the maximum and the config offset that it
// comes from, and the record with the highest config offset sets the number.
package drplacement
