package drfleet

// Account is a client account with its limit over all VMs together.
type Account struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent; it goes before the route's priority
	// Rate is the limit in tokens (or requests) per second, 0 for no limit.
	Rate  float64
	Burst float64
	// CountsTokens says that the limit is in tokens rather than requests.
	CountsTokens bool
	// PlainTokens is what a request without token counts is charged.
	PlainTokens float64
}

// Cost returns what a call is charged against the account's limit.
func (a *Account) Cost(call *Call) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case !call.HasTokens:
		return a.PlainTokens
	}
	return float64(call.PromptTokens + call.OutputTokens)
}
