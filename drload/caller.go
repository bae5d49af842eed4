package drload

import (
	"fmt"

	"github.com/valyala/fasthttp"
)

// Caller sends single requests of one client account, outside of a profile. It is safe
// for concurrent use.
type Caller struct {
	account Account
	client  *fasthttp.Client
}

// NewCaller returns a Caller that shares no connections with other Callers. Of the
// account it uses the key, the prompt size, the priority and the timeout.
func NewCaller(account Account) *Caller { return &Caller{account: account, client: newClient()} }

// Ask sends a request for model to the entry VM at target and reads the whole answer.
// It returns an error unless the answer is complete. If maxTokens is 0, the default of
// 64 output tokens applies.
func (c *Caller) Ask(target, model string, maxTokens int) error {
	account := c.account
	account.MaxTokens = maxTokens
	if result := sendRequest(c.client, target, account, arrival{model: model}); !result.served() {
		return fmt.Errorf("request for model %q: status %d, reason %q", model, result.status, result.reason)
	}
	return nil
}
