package drproxy

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drprompt"
)

// keptPrompts is what this VM believes that engines hold of prompts. It follows the
// runner table.
type keptPrompts struct {
	*drprompt.Index
	mix  *drprompt.Mix
	view *drfleetview.View
	// followed is the revision of the table that the Index has been told of.
	followed atomic.Uint64
}

func newKeptPrompts(clock drclock.Clock, view *drfleetview.View) *keptPrompts {
	return &keptPrompts{Index: drprompt.NewIndex(clock), mix: drprompt.NewMix(clock), view: view}
}

// follow tells the Index what has changed in the runner table.
func (k *keptPrompts) follow() {
	followed := k.followed.Load()
	if k.view.Revision() == followed {
		return
	}
	changes, revision := k.view.Changes(followed)
	for _, c := range changes {
		if c.Gone {
			k.Forget(c.Runner.ID)
		} else {
			k.Update(c.Runner)
		}
	}
	// Another request may have followed further; to follow changes twice does no harm.
	k.followed.CompareAndSwap(followed, revision)
}

// setPrompt reads the call's prompt if engines keep prompts and the route asks for
// affinity.
func (x *exchange) setPrompt() {
	if e := x.service.Engine; e != nil && e.PromptMemory > 0 && x.route.Affinity {
		x.prompt = drprompt.Of(x.call)
	}
}

// candidates returns the runners that can take the request, with what they are believed
// to hold of its prompt.
func (x *exchange) candidates() []drbalancer.Candidate {
	cs := x.ofVersion(x.server.View.Candidates(x.replica()))
	if len(x.prompt.Prefixes) == 0 {
		return cs
	}
	x.server.prompts.follow()
	for i := range cs {
		cs[i].KeptTokens = x.server.prompts.Kept(cs[i].Runner, x.prompt, x.service.Engine.PromptMemory)
	}
	return cs
}

// tokens returns the tokens that the request takes at the engine that was chosen for it.
func (x *exchange) tokens() drfleetview.Tokens {
	if x.service.Engine == nil || x.service.Engine.Slots == 0 {
		return drfleetview.Tokens{}
	}
	prompt := max(x.call.PromptTokens, x.prompt.Tokens())
	return drfleetview.Tokens{Running: prompt + x.call.OutputTokens, Unread: max(prompt-x.estimate.KeptTokens, 0)}
}

// recordPrompt notes that a runner has read the request's prompt.
func (x *exchange) recordPrompt(runner *drfleet.Runner) {
	if len(x.prompt.Prefixes) == 0 {
		return
	}
	x.server.prompts.Record(runner, x.prompt, x.service.Engine.PromptMemory)
	kept := min(x.estimate.KeptTokens, x.prompt.Tokens())
	x.server.prompts.mix.Add(x.prompt.Tokens(), x.prompt.Tokens()-kept)
	x.server.Metrics.Counter(drmetric.PromptTokens, "kept").Inc(int64(kept))
	x.server.Metrics.Counter(drmetric.PromptTokens, "not-kept").Inc(int64(x.prompt.Tokens() - kept))
}

// weighed returns what the choice of the last runner weighed, for the log.
func (x *exchange) weighed() log.Fields {
	if x.estimate == (drbalancer.Estimate{}) {
		return nil
	}
	return log.Fields{
		"expected-wait": x.estimate.Wait.Round(time.Millisecond), "kept-tokens": x.estimate.KeptTokens,
		"saving": x.estimate.Saved.Round(time.Millisecond),
	}
}
