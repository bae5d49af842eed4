package drfleet

// Account is a client account. Its rate limit applies to all VMs together.
type Account struct {
	Name string
	Keys []string // API keys, by any of which a client proves its account
	// Homes are the regions in which requests may be served; all if there are none.
	Homes    []string
	Priority int // 0 is the most urgent; it outranks the route's priority
	// Rate is the limit in tokens or requests per second, 0 for no limit.
	Rate float64
	// Burst is how many tokens or requests can be used at once after a pause.
	Burst float64
	// CountsTokens is set if Rate and Burst are in tokens rather than requests.
	CountsTokens bool
	// PlainTokens is how many tokens a request without token counts is charged.
	PlainTokens float64
}

// Cost returns what a call is charged against the account's limit, in tokens if
// CountsTokens is set: the prompt plus the most that may be generated.
func (a *Account) Cost(call *Call) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case !call.HasTokens:
		return a.PlainTokens
	}
	return float64(call.PromptTokens + call.OutputTokens)
}
