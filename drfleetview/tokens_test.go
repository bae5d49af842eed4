package drfleetview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// Guards against tokens that stay counted after the prompt was read or the request has
// ended, and against reports that leave out a runner of which only they have changed.
func TestTokensFollowTheRequest(t *testing.T) {
	is := is.New(t)
	v := drfleetview.New(drclock.NewFake(time.Unix(0, 0)))
	replica := drfleetview.Replica{Service: "llm", Model: "m"}
	r := &drfleet.Runner{ID: "r1", Service: "llm", Started: 1, Replicas: []drfleet.Replica{{Model: "m"}}}
	v.OfferRunner(r, drfleetview.FromRunner)
	request := v.Begin(r, replica)
	request.SetTokens(drfleetview.Tokens{Running: 700, Unread: 600})
	v.SetTokens("r1", drfleetview.Tokens{Running: 5000, Unread: 400})
	c := v.Candidates(replica)[0]
	is.Equal([]int{c.RunningTokens, c.UnreadTokens}, []int{5700, 1000})
	is.Equal(v.Uses(false)[0].Tokens, drfleetview.Tokens{Running: 700, Unread: 600})

	request.PromptRead()
	is.Equal(v.Uses(false)[0].Tokens, drfleetview.Tokens{Running: 700})
	is.Equal(len(v.Uses(false)), 0)

	v.ForgetLoads()
	request.End(drfleetview.Succeeded)
	c = v.Candidates(replica)[0]
	is.Equal([]int{c.RunningTokens, c.UnreadTokens}, []int{0, 0})
}
