package drload

import "time"

// outcome is the result of one request.
type outcome struct {
	account   int  // index in Profile.Accounts
	coldStart bool // asked for one of Account.IdleModels
	sent      time.Time
	status    int // HTTP status; 0 if there was no response
	// reason is why the request was not served, otherwise empty. For refusals it
	// is the last segment of the problem type, such as "over-rate".
	reason string
	// runState is the member "run" of a refusal's problem document, which tells
	// whether the request was run.
	runState string
	// timeToFirstToken and totalTime are measured from sent to the first token and to
	// the end of the answer; tokenGaps are the times between consecutive tokens.
	timeToFirstToken time.Duration
	tokenGaps        []time.Duration
	totalTime        time.Duration
	// reservedTokens is what an entry VM reserves of the account's limit for the
	// request, usedTokens what the answer reports as used.
	reservedTokens, usedTokens int
	// complete is whether the stream ended with its end marker.
	complete bool
}

// served reports whether the caller received a complete answer with status 200.
func (o outcome) served() bool { return o.status == 200 && o.complete }
