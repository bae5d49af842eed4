package drroute

// Request asks for a generation.
type Request struct {
	// ID is unique per request; generation ids are derived from it.
	ID        string
	Account   string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Priority is higher for more urgent work.
	Priority int
}

// fingerprint identifies resends of the same request.
func (q Request) fingerprint() Fingerprint {
	return NewFingerprint(q.Account, q.Model+"\x00"+q.Adapter, []byte(q.Prompt))
}
