// Package drcapacity measures what the roles of an entry VM cost at several
// sizes, fits lines through the measurements, and writes docs/capacity-serve.md with
// the cost of each role at the target size. A role is one of the tasks that an
// entry VM runs, such as the planner.
package drcapacity
