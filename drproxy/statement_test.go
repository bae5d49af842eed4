package drproxy

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
