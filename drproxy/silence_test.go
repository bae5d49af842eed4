package drproxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// silence is longer than a stream of the test routes may pause before another runner is
// tried.
const silence = 1200 * time.Millisecond

// overlapTime is a time for which two runs of a stream overlap in these tests.
const overlapTime = 4 * overlapCheck

// pauseInStream returns a runner that is silent for a time after the first event of the
// first stream that it gets, and then ends it. It refuses all other requests as full.
func pauseInStream() scriptedRunner {
	var once sync.Once
	return func(conn *memoryConn, id string) {
		first := false
		once.Do(func() { first = true })
		if !first {
			refuse(conn, id)
			return
		}
		parts := answerParts(id, "/stream/on/"+id, 0, answersWhole)
		writeAll(conn, parts[0]+parts[1])
		time.Sleep(silence)
		writeAll(conn, strings.Join(parts[2:], ""))
	}
}

// Guards against a stream that is broken off because its runner is silent for a while and
// no other takes it over, although that runner would have gone on. A VM that stopped lost
// a stream so on each of two deployments.
func TestSilentRunnerKeepsStream(t *testing.T) {
	prepareBubble()
	for name, other := range map[string]scriptedRunner{
		"other is full":        refuse,
		"other does not begin": func(conn *memoryConn, _ string) { _ = conn.Close() },
		"other answers failure": func(conn *memoryConn, id string) {
			writeAll(conn, plainText(id, 500, sealHeader+": s\r\n", "error"))
		},
	} {
		for _, stopping := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stopping %v", name, stopping), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newScriptedWorld(pauseInStream())
					defer w.close(t)
					w.server.pool.dialer.(scriptedDialer).runners["4"] = other
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
}

// Guards against two runners that work on one stream for longer than it takes to know which of
// them goes on: the silent one, and one that has been sent the stream and has not begun.
func TestRunnersOverlapUntilOneBegins(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began, ended := make(chan time.Time, 1), make(chan time.Time, 1)
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			parts := answerParts(id, "/stream/on/"+id, 0, answersWhole)
			writeAll(conn, parts[0]+parts[1])
			<-conn.Done()
			ended <- time.Now()
		})
		defer w.close(t)
		w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, id string) {
			time.Sleep(3 * overlapTime / 2)
			began <- time.Now()
			writeAll(conn, strings.Join(answerParts(id, "/stream/on/"+id, 0, answersWhole), ""))
		}
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.Equal((<-ended).Sub(<-began), time.Duration(0))
	})
}

// Guards against a runner that was sent a stream and works on although the silent one, which it
// was to replace, has gone on.
func TestSuccessorOfResumedRunEnds(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sentAgain, ended := make(chan time.Time, 1), make(chan time.Time, 1)
		w := newScriptedWorld(resumeAt(time.Second+3*overlapTime/2, refuse))
		defer w.close(t)
		w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, _ string) {
			sentAgain <- time.Now()
			<-conn.Done()
			ended <- time.Now()
		}
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		overlapped := (<-ended).Sub(<-sentAgain)
		is.True(overlapped >= 3*overlapTime/2 && overlapped <= 3*overlapTime/2+overlapCheck)
	})
}

// Guards against two silent runners that keep a third run from a stream, and against the first
// that is given up for a third one, which refuses.
func TestThirdRunFollowsSilentOnes(t *testing.T) {
	prepareBubble()
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused %v", refused), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				third := make(chan time.Time, 2)
				w := newScriptedWorld(resumeAt(2*time.Second, func(conn *memoryConn, id string) {
					third <- time.Now()
					if refused {
						refuse(conn, id)
						return
					}
					writeAll(conn, strings.Join(answerParts(id, "/stream/on/"+id, 0, answersWhole), ""))
				}))
				defer w.close(t)
				ended := make(chan time.Time, 1)
				w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, _ string) {
					<-conn.Done()
					ended <- time.Now()
				}
				began := time.Now()
				o, _ := w.ask("/stream/on/x", "x")
				is.True(o.complete)
				is.Equal(o.body, wholeBody("x", o.path))
				limit := time.Second + firstEventFactor*100*time.Millisecond
				is.True((<-ended).Sub(began)-limit < overlapCheck)
				is.True((<-third).Sub(began)-limit < overlapCheck)
			})
		})
	}
}
