// Package drmatrix holds the fault matrix: for each step of each protocol and
// each fault, the test that covers the cell or the reason why there is none.
// The command in drmatrix/generate writes docs/fault-matrix.md from the results
// of a test run.
package drmatrix
