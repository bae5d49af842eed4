package drgateway

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Meter takes measurements of requests. Its methods must not block.
type Meter interface {
	// Ended counts a request. Reason is empty if it was served, else the
	// suffix of the problem type.
	Ended(status int, reason string)
	// Admitted measures the wait for tokens and the turn.
	Admitted(p drconfig.Priority, wait time.Duration)
	// ColdStart measures a cold request from arrival to dispatch.
	ColdStart(wait time.Duration)
	// FirstToken measures a request on a loaded model from arrival to token.
	FirstToken(wait time.Duration)
	// NextToken measures the time between two tokens.
	NextToken(gap time.Duration)
	// Used counts prompt and completion tokens.
	Used(account string, tokens float64)
}

// noMeter drops measurements.
type noMeter struct{}

func (noMeter) Ended(int, string)                         {}
func (noMeter) Admitted(drconfig.Priority, time.Duration) {}
func (noMeter) ColdStart(time.Duration)                   {}
func (noMeter) FirstToken(time.Duration)                  {}
func (noMeter) NextToken(time.Duration)                   {}
func (noMeter) Used(string, float64)                      {}
