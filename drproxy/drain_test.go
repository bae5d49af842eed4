package drproxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// Guards against a draining VM that refuses requests it has time for, or takes some that
// it has no time for. All routes time out within 0.6 s to 2.6 s.
func TestDrainTakesWhatCanEnd(t *testing.T) {
	prepareBubble()
	for _, c := range []struct {
		name, path string
		late, end  time.Duration
		status     int
	}{
		{"may be repeated, not late", "/get/x", 50 * time.Millisecond, 100 * time.Millisecond, 200},
		{"may be repeated, late", "/get/x", 0, 100 * time.Millisecond, 503},
		{"ends in time", "/get/x", 0, 3 * time.Second, 200},
		{"stream, not late", "/stream/once/x", 50 * time.Millisecond, 100 * time.Millisecond, 200},
		{"stream, late", "/stream/once/x", 0, 100 * time.Millisecond, 503},
		{"must not be repeated, not late", "/pay/x", 50 * time.Millisecond, 100 * time.Millisecond, 503},
		{"must not be repeated, ends in time", "/pay/x", 0, 3 * time.Second, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				runs := 0
				w := newScriptedWorld(func(conn *memoryConn, id string) {
					runs++
					writeAll(conn, strings.Join(answerParts(id, c.path, 0, answersWhole), ""))
				})
				defer w.close(t)
				w.server.StartDrain()
				w.server.EndBy(time.Now().Add(c.late), time.Now().Add(c.end))
				o, _ := w.ask(c.path, "x")
				is.Equal(o.status, c.status)
				is.Equal(runs > 0, c.status == 200)
			})
		})
	}
}

// Guards against a request that arrives in time and is passed on late: after a runner has
// refused it, or once its model is loaded. Its client must hear at once that it has to go
// to another VM.
func TestDrainEndsWaitsAndTries(t *testing.T) {
	prepareBubble()
	const late, end = 50 * time.Millisecond, 100 * time.Millisecond
	for name, model := range map[string]string{"refused by a runner": "m", "waits for a model": "cold"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(func(conn *memoryConn, id string) {
					time.Sleep(late)
					refuse(conn, id)
				})
				defer w.close(t)
				w.view.SetForecast(drfleetview.Replica{Service: "llm", Model: "cold"}, 200*time.Millisecond)
				w.server.StartDrain()
				w.server.EndBy(time.Now().Add(late), time.Now().Add(end))
				o, took := w.askFor(model, "/stream/on/x", "x")
				is.Equal(o.status, 503)
				is.True(took < late+300*time.Millisecond)
			})
		})
	}
}

// newMovedModelWorld returns a world whose only runner with the model breaks its streams off
// after a pause and loses the model, which another runner holds 100 ms later.
func newMovedModelWorld(pause time.Duration) *orderWorld {
	const loadTime = 100 * time.Millisecond
	var w *orderWorld
	w = newScriptedWorld(func(conn *memoryConn, id string) {
		parts := answerParts(id, "/stream/on/"+id, 0, answersWhole)
		writeAll(conn, parts[0]+parts[1])
		time.Sleep(pause)
		w.describe(w.runners["3"], 2)
		time.AfterFunc(loadTime, func() { w.describe(w.runners["4"], 3, "m") })
		_ = conn.Close()
	})
	w.describe(w.runners["4"], 2)
	w.view.SetForecast(drfleetview.Replica{Service: "llm", Model: "m"}, loadTime)
	return w
}

// Guards against a stream that a VM in its drain ends although a further runner could soon
// go on with it: its first runner broke off after the VM had begun to refuse what may
// outlast it.
func TestBegunStreamLooksForRunnerInDrain(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const late = 50 * time.Millisecond
		w := newMovedModelWorld(late)
		defer w.close(t)
		w.server.StartDrain()
		w.server.EndBy(time.Now().Add(late), time.Now().Add(500*time.Millisecond))
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.Equal(o.body, wholeBody("x", o.path))
	})
}

// Guards against a stream that ends although a further runner could soon go on with it,
// because its client would no longer wait for the beginning of an answer.
func TestBegunStreamOutlastsPatience(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMovedModelWorld(orderPatience)
		defer w.close(t)
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.Equal(o.body, wholeBody("x", o.path))
	})
}
