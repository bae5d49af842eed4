package drproxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// resumeAt returns a runner that is silent for pause after the first event of the first
// stream that it gets, and then ends it. Other requests are handled by further.
func resumeAt(pause time.Duration, further scriptedRunner) scriptedRunner {
	first := true
	return func(conn *memoryConn, id string) {
		if !first {
			further(conn, id)
			return
		}
		first = false
		parts := answerParts(id, "/stream/on/"+id, 0, answersWhole)
		writeAll(conn, parts[0]+parts[1])
		time.Sleep(pause)
		writeAll(conn, strings.Join(parts[2:], ""))
	}
}

// lateRunners are runners that fail, or go silent, too late to be known before the silent
// runner ends.
var lateRunners = map[string]scriptedRunner{
	"full": func(conn *memoryConn, id string) {
		time.Sleep(2 * overlapTime)
		refuse(conn, id)
	},
	"closes": func(conn *memoryConn, _ string) {
		time.Sleep(2 * overlapTime)
		_ = conn.Close()
	},
	"fails": func(conn *memoryConn, id string) {
		time.Sleep(2 * overlapTime)
		writeAll(conn, plainText(id, 500, sealHeader+": s\r\n", "error"))
	},
	"silent": func(conn *memoryConn, _ string) { <-conn.Done() },
}

// Guards against a stream that is broken off because the runner that was to take it over
// fails late, although the silent runner has already gone on when it is given up.
func TestResumedRunnerKeepsStream(t *testing.T) {
	prepareBubble()
	for name, other := range lateRunners {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(resumeAt(time.Second+overlapTime/2, refuse))
				defer w.close(t)
				w.server.pool.dialer.(scriptedDialer).runners["4"] = other
				o, _ := w.ask("/stream/on/x", "x")
				is.True(o.complete)
				is.Equal(o.body, wholeBody("x", o.path))
			})
		})
	}
}

// Guards against a stream that is broken off because its only runner, silent for a while,
// got the stream again on another connection and failed there late.
func TestOnlyRunnerKeepsStream(t *testing.T) {
	prepareBubble()
	for name, again := range lateRunners {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(resumeAt(time.Second+3*overlapTime/2, again))
				defer w.close(t)
				w.describe(w.runners["4"], 2)
				o, _ := w.ask("/stream/on/x", "x")
				is.True(o.complete)
				is.Equal(o.body, wholeBody("x", o.path))
			})
		})
	}
}

// Guards against a stream that is broken off because the runner that has taken it over
// from a silent one begins late, and no retry is left in the budget.
func TestLateSuccessorKeepsStream(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(resumeAt(time.Hour, refuse))
		defer w.close(t)
		w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, id string) {
			for w.server.Budgets.Of("llm").Retry() {
			}
			time.Sleep(firstEventFactor*100*time.Millisecond + overlapTime/2)
			writeAll(conn, strings.Join(answerParts(id, "/stream/on/"+id, 0, answersWhole), ""))
		}
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.Equal(o.body, wholeBody("x", o.path))
	})
}

// Guards against events that a silent runner sends again, and that stay unread while the VM
// reads the failure of another runner, whose body does not end.
func TestSlowFailureDelaysNoStream(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(resumeAt(time.Second+overlapTime/2, refuse))
		defer w.close(t)
		w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, id string) {
			writeAll(conn, strings.TrimSuffix(plainText(id, 500, sealHeader+": s\r\n", "error"), "or"))
			<-conn.Done()
		}
		o, took := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.True(took <= time.Second+overlapTime)
		is.Equal(o.body, wholeBody("x", o.path))
	})
}

// Guards against a stream that is broken off because all runners are full for a moment when
// its own one has failed.
func TestBegunStreamWaitsForFreeRunner(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			writeAll(conn, strings.Join(answerParts(id, "/stream/on/"+id, 0, answersWhole)[:2], ""))
			_ = conn.Close()
		})
		defer w.close(t)
		w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, id string) {
			if time.Since(began) < 800*time.Millisecond {
				w.view.SetLoad(w.runners["3"].id, 20, 0)
				refuse(conn, id)
				return
			}
			writeAll(conn, strings.Join(answerParts(id, "/stream/on/"+id, 0, answersWhole), ""))
		}
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.Equal(o.body, wholeBody("x", o.path))
	})
}
