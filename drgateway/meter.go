package drgateway

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Meter receives the measurements of requests. Its methods must not block and must
// be safe for concurrent use.
type Meter interface {
	// Ended counts a request. Reason is empty if the request was served, else
	// it is the last segment of the problem type, such as "queue-full".
	Ended(status int, reason string)
	// Admitted records the time from a request's arrival until the limiter and
	// the queue admitted it.
	Admitted(priority drconfig.Priority, wait time.Duration)
	// ColdStart records the time from arrival to dispatch of a request whose
	// model was not loaded.
	ColdStart(wait time.Duration)
	// FirstToken records the time from arrival to the first token of a request
	// whose model was loaded.
	FirstToken(wait time.Duration)
	// NextToken records the time between two tokens of a request.
	NextToken(gap time.Duration)
	// Used counts the prompt and completion tokens that an account is charged
	// for.
	Used(account string, tokens float64)
}

// noMeter is the Meter of servers that are configured without one.
type noMeter struct{}

func (noMeter) Ended(int, string)                         {}
func (noMeter) Admitted(drconfig.Priority, time.Duration) {}
func (noMeter) ColdStart(time.Duration)                   {}
func (noMeter) FirstToken(time.Duration)                  {}
func (noMeter) NextToken(time.Duration)                   {}
func (noMeter) Used(string, float64)                      {}
