package drload

import "time"

// outcome is what became of one request.
type outcome struct {
	account   int
	coldStart bool
	sent      time.Time
	status    int
	// reason is the problem type's suffix of a refusal, or "transport".
	reason   string
	runState string
	// timeToFirstToken is the time to the first token, gaps the times between
	// tokens, total the time to the end of the answer.
	timeToFirstToken time.Duration
	tokenGaps        []time.Duration
	totalTime        time.Duration
	// reservedTokens and used are token counts for the account's limit.
	reservedTokens, usedTokens int
	// complete says that the stream ended with its end marker.
	complete bool
}

// served reports whether the caller got a whole answer.
func (o outcome) served() bool { return o.status == 200 && o.complete }
