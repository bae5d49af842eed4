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
func NewCaller(a Account) *Caller { return &Caller{account: a, client: newClient()} }

// Ask sends a request to the entry VM at target and reads the whole answer.
func (c *Caller) Ask(target, model string, maxTokens int) error {
	a := c.account
	a.MaxTokens = maxTokens
	if o := send(c.client, target, a, arrival{model: model}); !o.served() {
		return fmt.Errorf("request for model %q: status %d, reason %q", model, o.status, o.reason)
	}
	return nil
}
