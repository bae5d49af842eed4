// Package drprocess tests the invariants of section 1.2 of docs/design.md from
// outside: it starts the stand-ins of a deployment and 16 entry VMs as real
// processes, sends requests as callers do while processes, the log and backend
// servers fail, and compares what callers received with what the stand-ins
// counted. The package holds tests only.
package drprocess
