package drproxy

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// statingDialer is a Dialer during whose first dial the runner says something of itself
// in the answer to another request.
type statingDialer struct {
	Dialer
	state func()
}

func (d *statingDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.state()
	return d.Dialer.Dial(ctx, address)
}

// Guards against a request that reaches a runner which has said, while the connection
// was being opened, that it leaves or wants no requests.
func TestRunnerThatWantsNothingMeanwhile(t *testing.T) {
	prepareBubble()
	wanted := drfleetview.Incarnation{Runner: "app-0"}
	for name, state := range map[string]func(v *drfleetview.View){
		"leaves": func(v *drfleetview.View) { v.MarkLeaving(wanted) },
		"pauses": func(v *drfleetview.View) { v.Pause(wanted, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, runs := newCrashingWorld()
				defer w.close(t)
				w.server.pool.dialer = &statingDialer{Dialer: w.server.pool.dialer, state: func() { state(w.view) }}
				answer, _ := w.ask("/pay/x", "x")
				is.Equal(answer.status, 200) // of the other runner
				is.Equal(*runs, 0)
			})
		})
	}
}

// Guards against a limit that is ended by an answer that says nothing of it: the request
// was sent before the limit was named, or the answer may be that of another request.
func TestOnlyOwnLaterAnswersEndLimits(t *testing.T) {
	is := is.New(t)
	prepareBubble()
	clock := drclock.NewFake(time.Unix(0, 0))
	view := drfleetview.New(clock)
	r := &drfleet.Runner{ID: "r"}
	view.OfferRunner(r, drfleetview.FromRunner)
	x := &exchange{server: &Server{Config: Config{View: view, Clock: clock}}, call: &drfleet.Call{ID: "1"}}
	answers := func(sent time.Duration, answer Answer) (limited bool) {
		a := &attempt{exchange: x, runner: r, sentUptime: sent, answer: answer}
		a.recordStatements()
		l, _ := view.LimitOf(drfleetview.IncarnationOf(r))
		return l.Rate > 0
	}
	clock.Advance(time.Minute)
	is.True(answers(time.Second, Answer{RequestID: "1", Limit: RateLimit{Named: true, Rate: 0}}))
	clock.Advance(time.Minute)
	is.True(answers(59*time.Second, Answer{RequestID: "1"}))
	is.True(answers(clock.Uptime(), Answer{RequestID: "1", Limit: RateLimit{Unclear: true}}))
	is.True(answers(clock.Uptime(), Answer{}))
	is.True(answers(clock.Uptime(), Answer{RequestID: "1", Instance: "other"}))
	is.True(!answers(clock.Uptime(), Answer{RequestID: "1"}))
}
