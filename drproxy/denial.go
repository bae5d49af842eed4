package drproxy

//go:generate stringer -type=denial -linecomment

// denial is why a request is not sent to one more runner.
type denial int

const (
	notDenied       denial = iota //
	notRepeatable                 // not-repeatable
	attemptsUsed                  // attempts-used
	noTimeLeft                    // no-time-left
	serverStops                   // this-vm-stops
	overRetryBudget               // over-retry-budget
)

// retryDenial returns why the route or the remaining time does not allow that one more
// runner runs the request. It does not look at the retry budget.
func (x *exchange) retryDenial(state *retryState) denial {
	switch {
	case !x.route.Idempotent():
		return notRepeatable
	case state.possibleRuns >= x.route.Attempts:
		return attemptsUsed
	case x.remaining() < answerMargin:
		return noTimeLeft
	case x.mustGiveUp():
		return serverStops
	}
	return notDenied
}
