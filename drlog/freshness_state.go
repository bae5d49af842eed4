package drlog

//go:generate stringer -type=FreshnessState -linecomment

// FreshnessState says how far this VM's view of the log can be trusted. Its text is
// "fresh", "log-down" or "isolated".
type FreshnessState int

// States of a VM, from the most to the least trusted. Fresh: all streams were
// confirmed within FreshBound. LogDown: they were not, but this VM reaches a
// majority of the members and none of them has a newer confirmation, so the log is
// down for all. Isolated: neither holds, or the log has been down for longer than
// FreshnessConfig.ServeWithoutLog.
const (
	Fresh    FreshnessState = iota // fresh
	LogDown                        // log-down
	Isolated                       // isolated
)
