package drlog

//go:generate stringer -type=FreshnessState -linecomment

// FreshnessState says how far this VM's view of the log can be trusted. Its text is
// "fresh", "log-down" or "isolated".
type FreshnessState int

// States of a VM, from the most to the least trusted. Fresh: all streams were
// confirmed within FreshBound. LogDown: they were not, but this VM reaches a
// majority of the members and none of them has a confirmation that is within
// FreshBound and newer than this VM's, so the log is taken to be down for all.
// Isolated: neither holds, or this VM's confirmation is older than
// FreshnessConfig.ServeWithoutLog.
const (
	Fresh    FreshnessState = iota // fresh
	LogDown                        // log-down
	Isolated                       // isolated
)
