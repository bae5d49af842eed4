package drfleet

import "time"

// Part is one part of a prompt, which other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Call is what a client's request says of itself.
type Call struct {
	ID     string
	Method string
	Host   string
	Path   string // without the query
	Key    string // "" if none was sent
	// Deadline is how long the client waits from sending the request, 0 if it
	// did not say.
	Deadline time.Duration
	Model    string
	Adapter  string
	// HasTokens says that the two counts were sent.
	HasTokens    bool
	PromptTokens int
	OutputTokens int // the most that may be generated
	Prompt       []Part
	LastEvent    int // id of the last event that the client has, 0 if none
}

// Session returns the id of the last part of the prompt, which belongs to the
// request or its session, "" if there is none.
func (c *Call) Session() string {
	if len(c.Prompt) == 0 {
		return ""
	}
	return c.Prompt[len(c.Prompt)-1].ID
}
