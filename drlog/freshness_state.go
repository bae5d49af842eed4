package drlog

//go:generate stringer -type=FreshnessState -linecomment

// FreshnessState says how far this VM's view of the log can be trusted.
type FreshnessState int

// States, from the safest on.
const (
	Fresh    FreshnessState = iota // fresh
	LogDown                        // log-down
	Isolated                       // isolated
)
