package drfleet

import "time"

// Part is one part of a prompt. Requests that share a part need it prefilled
// only once on a runner.
type Part struct {
	ID     string
	Tokens int
}

// Call holds what the header of a client's request says about the request.
type Call struct {
	ID     string
	Method string
	Host   string
	Path   string // without the query
	Key    string // API key, "" if none was sent
	// Deadline is how long the client waits after sending the request, 0 if it
	// stated nothing.
	Deadline time.Duration
	Model    string
	Adapter  string
	// HasTokens is set if the client sent PromptTokens and OutputTokens.
	HasTokens    bool
	PromptTokens int
	OutputTokens int // the most that may be generated
	Prompt       []Part
	LastEvent    int // id of the last event that the client has, to resume a stream; 0 if none
	// Resumes is the ID of the call that brought the first event of a stream that is resumed,
	// "" if it is not stated.
	Resumes string
}

// Session returns the id that requests of one session have in common, "" if the
// call has no prompt. It is the id of the last prompt part: the parts before it
// may be shared by other sessions.
func (c *Call) Session() string {
	if len(c.Prompt) == 0 {
		return ""
	}
	return c.Prompt[len(c.Prompt)-1].ID
}
