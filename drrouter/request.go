package drrouter

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drrequest"
)

// Request asks for a generation by a model.
type Request struct {
	// ID is unique per request, also among resends. The generation ids that
	// engines see are derived from it.
	ID string
	// RequestID is the id that the caller sees.
	RequestID string
	Account   string
	Model     string
	Adapter   string
	Prompt    string
	// MaxTokens bounds the generated tokens; 0 sets no bound.
	MaxTokens int
	// Priority is passed to the engine; higher is more urgent.
	Priority int
	// Deadline is passed to the Waker. The context of the request must end no
	// later.
	Deadline time.Time
}

// fingerprint returns the same value for resends of the same request.
func (q Request) fingerprint() drrequest.Fingerprint {
	return drrequest.NewFingerprint(q.Account, q.Model+"\x00"+q.Adapter, []byte(q.Prompt))
}
