package drproxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a stream that is broken off because its runner is silent for a while and
// another one holds the request for longer than overlapTime before it refuses it.
func TestLateRefusalKeepsSilentRun(t *testing.T) {
	prepareBubble()
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopping %v", stopping), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(pauseInStream())
				defer w.close(t)
				w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, id string) {
					time.Sleep(overlapTime + 100*time.Millisecond)
					refuse(conn, id)
				}
				if stopping {
					w.server.StartDrain()
					w.server.EndBy(time.Now().Add(200*time.Millisecond), time.Now().Add(500*time.Millisecond))
				}
				o, _ := w.ask("/stream/on/x", "x")
				is.Equal(o.status, 200)
				is.True(o.complete)
				is.Equal(o.body, wholeBody("x", o.path))
			})
		})
	}
}
