package drload

import "time"

// outcome is what became of one request.
type outcome struct {
	account int
	cold    bool
	sent    time.Time
	status  int
	// reason is the problem type's suffix of a refusal, or "transport".
	reason string
	run    string
	// firstToken is the time to the first token, gaps the times between
	// tokens, total the time to the end of the answer.
	firstToken time.Duration
	gaps       []time.Duration
	total      time.Duration
	// reserved and used are token counts for the account's limit.
	reserved, used int
	// complete says that the stream ended with its end marker.
	complete bool
}

// served reports whether the caller got a whole answer.
func (o outcome) served() bool { return o.status == 200 && o.complete }
