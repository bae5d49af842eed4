package drload

import (
	"fmt"

	"github.com/valyala/fasthttp"
)

// Caller sends single requests of one client account.
type Caller struct {
	account Account
	client  *fasthttp.Client
}

// NewCaller returns a Caller with its own connections.
func NewCaller(account Account) *Caller { return &Caller{account: account, client: newClient()} }

// Ask sends a request to the entry VM at target and reads the whole answer.
func (c *Caller) Ask(target, model string, maxTokens int) error {
	account := c.account
	account.MaxTokens = maxTokens
	if result := sendRequest(c.client, target, account, arrival{model: model}); !result.served() {
		return fmt.Errorf("request for model %q: status %d, reason %q", model, result.status, result.reason)
	}
	return nil
}
