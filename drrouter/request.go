package drrouter

import "time"

// Request asks for a generation.
type Request struct {
	// ID is unique per request, also among resends; generation ids are derived
	// from it. RequestID is the id that the caller sees.
	ID        string
	RequestID string
	Account   string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Priority is higher for more urgent work.
	Priority int
	// Deadline is passed to wake-ups; the context must end no later.
	Deadline time.Time
}

// fingerprint identifies resends of the same request.
func (q Request) fingerprint() Fingerprint {
	return NewFingerprint(q.Account, q.Model+"\x00"+q.Adapter, []byte(q.Prompt))
}
