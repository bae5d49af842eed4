package drcontroller

import (
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// tokensByRunner holds tokens of running requests by runner ID. Runners without any have
// no entry.
type tokensByRunner map[string]drfleetview.Tokens

// add adds to a runner's tokens.
func (t tokensByRunner) add(runner string, tokens drfleetview.Tokens) {
	if sum := t[runner].Plus(tokens); sum != (drfleetview.Tokens{}) {
		t[runner] = sum
	} else {
		delete(t, runner)
	}
}

// applyTokens records the tokens that a VM reports of one runner.
func (c *Controller) applyTokens(v *vm, use *drpb.FleetUse) {
	tokens := decodeTokens(use.GetRunningTokens(), use.GetUnreadTokens())
	change := tokens.Minus(v.tokens[use.GetRunner()])
	v.tokens.add(use.GetRunner(), change)
	c.tokens.add(use.GetRunner(), change)
}

// subtractTokens removes what a VM has reported of tokens.
func (c *Controller) subtractTokens(v *vm) {
	for runner, t := range v.tokens {
		c.tokens.add(runner, drfleetview.Tokens{}.Minus(t))
	}
	clear(v.tokens)
}

func decodeTokens(running, unread uint32) drfleetview.Tokens {
	return drfleetview.Tokens{Running: int(running), Unread: int(unread)}
}
