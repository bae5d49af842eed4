package drfleetview

// Tokens counts the tokens of running requests on a runner.
type Tokens struct {
	// Running is how much memory the requests may come to need: prompts and answers.
	Running int
	// Unread is how much of their prompts the runner has still to read.
	Unread int
}

// Plus returns the sum of two counts.
func (t Tokens) Plus(u Tokens) Tokens { return Tokens{t.Running + u.Running, t.Unread + u.Unread} }

// Minus returns the difference of two counts.
func (t Tokens) Minus(u Tokens) Tokens { return Tokens{t.Running - u.Running, t.Unread - u.Unread} }

// SetTokens states the tokens of the request, once after Begin.
func (u *ActiveRequest) SetTokens(tokens Tokens) {
	u.view.mu.Lock()
	defer u.view.mu.Unlock()
	u.tokens = tokens
	u.entry.tokens = u.entry.tokens.Plus(tokens)
}

// PromptRead records that the runner has begun to answer the request.
func (u *ActiveRequest) PromptRead() {
	u.view.mu.Lock()
	defer u.view.mu.Unlock()
	u.entry.tokens.Unread -= u.tokens.Unread
	u.tokens.Unread = 0
}

// SetTokens records the tokens of other VMs' requests that the controller reports of a
// runner. It ignores unknown runners. ForgetLoads clears them.
func (v *View) SetTokens(runner string, others Tokens) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.runners[runner]; ok {
		e.tokensElsewhere = others
	}
}
