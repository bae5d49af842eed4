package drproxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a run that is given up because its answer comes some time after an answer
// to another request on the same connection.
func TestAnswerLongAfterStrayOne(t *testing.T) {
	prepareBubble()
	for _, path := range []string{"/get/x", "/pay/x", "/stream/on/x", "/stream/once/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				runs := 0
				w := newScriptedWorld(func(conn *memoryConn, id string) {
					runs++
					writeAll(conn, plainText("other", 200, sealHeader+": s\r\n", "done other"))
					time.Sleep(3 * skipTimeout)
					writeAll(conn, strings.Join(answerParts(id, path, 0, answersWhole), ""))
				})
				defer w.close(t)
				w.server.pool.dialer.(scriptedDialer).runners["1"] = refuse
				w.server.pool.dialer.(scriptedDialer).runners["4"] = refuse
				o, _ := w.ask(path, "x")
				is.Equal(o.status, 200)
				is.Equal(o.body, wholeBody("x", path))
				is.Equal(runs, 1)
			})
		})
	}
}
