// Package drversion tells which version of a service's software began a stream, without a
// record of each stream. A stream begins at a version that follows from its id, from how many
// runners of each version served, and from which of them held its replica. A history of the
// latter two says the same to each VM later on.
package drversion
