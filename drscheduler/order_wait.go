package drscheduler

import "time"

const (
	// maxFirstWait bounds the wait before the first order that follows an
	// operation, so that slow runners do not hold up the swaps of others.
	maxFirstWait = 150 * time.Millisecond
	// minRetryWait and maxRetryWait bound the wait after a refused order, and
	// retryWaitDivisor is the ratio of an operation's time so far to that wait.
	// The time lost to a wait thus stays small beside the operation's.
	minRetryWait     = 20 * time.Millisecond
	maxRetryWait     = 200 * time.Millisecond
	retryWaitDivisor = 5
	// refusedDivisor is the ratio of the time by which the first order came too
	// early to the increase of its wait, and maxIncrease the maximum of that.
	refusedDivisor = 4
	maxIncrease    = 4 * time.Millisecond
	// acceptedDivisor is the ratio of the wait to its decrease once the first
	// order is accepted.
	acceptedDivisor = 64
)

// OrderWait is how long an order is held back that a runner refuses until an
// earlier operation is done. It follows the times that operations took lately. The
// zero value does not hold orders back.
type OrderWait struct{ first time.Duration }

// First returns the time to wait before the first order.
func (w OrderWait) First() time.Duration { return w.first }

// WithResult returns the wait after an operation whose end was noticed after a time
// and after a number of refused orders.
func (w OrderWait) WithResult(took time.Duration, refused int) OrderWait {
	if refused == 0 {
		w.first -= w.first / acceptedDivisor
		return w
	}
	increase := min((took-w.first)/refusedDivisor, maxIncrease)
	w.first = min(w.first+max(increase, 0), maxFirstWait)
	return w
}

// RetryWait returns the time to wait after a refused order, by how long the runner
// has been carrying out the earlier operation, or has exceeded its expected time.
func RetryWait(elapsed time.Duration) time.Duration {
	return min(max(elapsed/retryWaitDivisor, minRetryWait), maxRetryWait)
}
