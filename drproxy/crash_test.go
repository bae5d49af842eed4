package drproxy

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drrequest"
)

// newCrashingWorld returns a world whose preferred runners crash with each request,
// and the number of requests that they have begun.
func newCrashingWorld() (w *orderWorld, runs *int) {
	runs = new(int)
	w = newScriptedWorld(func(conn *memoryConn, _ string) {
		*runs++
		conn.Reset()
	})
	return w, runs
}

// Guards against a request that has crashed its runners and is sent to further ones.
func TestCrashingRequestIsRefused(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, runs := newCrashingWorld()
		defer w.close(t)
		first, _ := w.ask("/pay/poison", "x")
		is.Equal(first.status, 502)
		crashes := w.server.Crashes.TakeReport(false).Crashes
		is.Equal(len(crashes), 1)
		is.Equal(crashes[0].Runner, "app-0@0")
		w.server.Crashes.SetVerdict(drcrash.Verdict{Blocks: []drcrash.Block{{Cause: crashes[0].Request, Left: time.Minute, Span: time.Minute}}})
		again, _ := w.ask("/pay/poison", "y") // the same request under another ID
		is.Equal(again.status, 503)
		is.Equal(*runs, 1)
		other, _ := w.ask("/pay/other", "z")
		is.Equal(other.status, 200) // from the other runner
	})
}

// runTime is how long a runner works on a request whose client leaves before.
const runTime = 250 * time.Millisecond

// sendHalfway sends a request, waits until half of the time of its run has passed, and
// returns the client's end of the connection.
func (w *orderWorld) sendHalfway(path, id string) *memoryConn {
	client, conn := newMemoryPipe()
	w.running.Go(func() { w.server.ServeConn(conn) })
	writeAll(client, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nModel: m\r\nContent-Length: 0\r\n\r\n", path, id))
	time.Sleep(runTime / 2)
	return client
}

// sendAndLeave sends a request, leaves before the runner has ended it, and waits until it
// has.
func (w *orderWorld) sendAndLeave(path, id string) {
	_ = w.sendHalfway(path, id).Close()
	time.Sleep(runTime)
}

// Guards against a request whose client leaves before it crashes its runner, and that is
// sent to ever more runners because nobody counts their crashes.
func TestCrashCountsWithoutClient(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(func(conn *memoryConn, _ string) {
			time.Sleep(runTime)
			conn.Reset()
		})
		defer w.close(t)
		w.sendAndLeave("/pay/poison", "x")
		is.Equal(len(w.server.Crashes.TakeReport(false).Crashes), 1)
	})
}

// Guards against a planned release that has a request refused everywhere: the exits of three
// runners that drain count as its crashes.
func TestAnnouncedExitIsNoCrash(t *testing.T) {
	prepareBubble()
	announcements := map[string]func(*drfleetview.View, *drfleet.Runner){
		"draining": func(v *drfleetview.View, r *drfleet.Runner) { v.OfferRunner(r.WithDraining(), drfleetview.FromRunner) },
		"leaving":  func(v *drfleetview.View, r *drfleet.Runner) { v.MarkLeaving(drfleetview.IncarnationOf(r)) },
		"unlisted": func(v *drfleetview.View, r *drfleet.Runner) { v.RemoveRunner(r.ID) },
		"replaced": func(v *drfleetview.View, r *drfleet.Runner) {
			v.OfferRunner(r.WithDraining(), drfleetview.FromRunner)
			next := *r
			next.Started++
			v.OfferRunner(&next, drfleetview.FromRunner)
		},
	}
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var w *orderWorld
				w = newScriptedWorld(func(conn *memoryConn, _ string) {
					r, _ := w.view.Runner("app-0")
					announce(w.view, r)
					conn.Reset()
				})
				defer w.close(t)
				_, _ = w.ask("/pay/sound", "x")
				is.Equal(len(w.server.Crashes.TakeReport(false).Crashes), 0)
			})
		})
	}
}

// Guards against a crash that is not counted because at the same instant its client leaves,
// the time of the request passes or the VM stops: none of these undoes it.
func TestCrashCountsBesideOtherEnd(t *testing.T) {
	prepareBubble()
	for _, path := range []string{"/get/x", "/stream/on/x", "/stream/once/x", "/pay/x"} {
		for _, other := range []string{"leave", "stop", "deadline"} {
			t.Run(path+other, func(t *testing.T) {
				for range 30 {
					synctest.Test(t, func(t *testing.T) { crashBeside(t, path, other) })
				}
			})
		}
	}
}

func crashBeside(t *testing.T, path, other string) {
	t.Helper()
	running := make(chan *memoryConn, 8)
	w := newScriptedWorld(func(conn *memoryConn, _ string) {
		running <- conn
		<-conn.Done()
	})
	defer w.close(t)
	for _, address := range []string{"1", "4"} { // an answer of the other runner would clear the request
		w.server.pool.dialer.(scriptedDialer).runners[address] = func(conn *memoryConn, _ string) { <-conn.Done() }
	}
	client := w.sendHalfway(path, "x")
	conn := <-running
	if other == "deadline" {
		conn.pipe.mu.Lock()
		conn.pipe.reset, conn.peer.readDeadline = true, time.Now()
		conn.pipe.mu.Unlock()
	}
	conn.Reset()
	switch other {
	case "leave":
		_ = client.Close()
	case "stop":
		w.server.EndUnanswered()
	}
	synctest.Wait()
	is.New(t).Equal(len(w.server.Crashes.TakeReport(false).Crashes), 1)
	_ = client.Close()
}

// Guards against a crash of a silent runner that is not counted because another runner has
// been sent its stream meanwhile, in time to take it over or later, and crashes, too.
func TestCrashCountsDuringTakeover(t *testing.T) {
	prepareBubble()
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			parts := answerParts("x", "/stream/on/x", 0, answersWhole)
			sentAgain := make(chan struct{}, 8)
			w := newScriptedWorld(func(conn *memoryConn, _ string) {
				writeAll(conn, parts[0]+parts[1])
				select {
				case <-sentAgain:
					conn.Reset()
				case <-conn.Done():
				}
			})
			defer w.close(t)
			w.configureAttempts(2, 2, rand.New(rand.NewPCG(1, 1)))
			w.server.pool.dialer.(scriptedDialer).runners["4"] = func(conn *memoryConn, _ string) {
				sentAgain <- struct{}{}
				time.Sleep(overlapTime / 2)
				if !late {
					writeAll(conn, parts[0])
				}
				time.Sleep(overlapTime)
				conn.Reset()
			}
			_, _ = w.ask("/stream/on/x", "x")
			crashed := make(map[string]int)
			for _, c := range w.server.Crashes.TakeReport(true).Crashes {
				crashed[c.Runner]++
			}
			is.New(t).Equal(crashed, map[string]int{"llm-3@0": 1, "llm-4@0": 1})
		})
	}
}

// Guards against counting it as a crash that this VM closes the connection to a runner,
// because the client has left or the VM stops: sound requests would be refused.
func TestOwnCloseIsNoCrash(t *testing.T) {
	prepareBubble()
	for _, path := range []string{"/get/x", "/stream/on/x", "/stream/once/x", "/pay/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(func(conn *memoryConn, _ string) { <-conn.Done() })
				defer w.close(t)
				client := w.sendHalfway(path, "x")
				if path == "/pay/x" { // goes on when its client leaves
					w.server.EndUnanswered()
				} else {
					_ = client.Close()
				}
				synctest.Wait()
				is.Equal(len(w.server.Crashes.TakeReport(false).Crashes), 0)
				_ = client.Close()
			})
		})
	}
}

// Guards against a request that runs to a good end after its client has left, and stays
// blocked for the crashes before.
func TestSuccessClearsWithoutClient(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var runs atomic.Int64
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			if runs.Add(1) == 1 {
				conn.Reset()
				return
			}
			time.Sleep(runTime)
			writeAll(conn, plainText(id, 200, sealHeader+": s\r\n", "done"))
		})
		defer w.close(t)
		w.view.RemoveRunner("app-1")
		first, _ := w.ask("/pay/x", "x")
		is.Equal(first.status, 502)
		is.Equal(len(w.server.Crashes.TakeReport(true).Crashes), 1)
		w.sendAndLeave("/pay/x", "y")
		is.Equal(runs.Load(), int64(2))
		is.Equal(len(w.server.Crashes.TakeReport(true).Crashes), 0)
	})
}

// Guards against counting a crash against a request that ran on another runner
// without crashing it.
func TestServedRequestIsCleared(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, runs := newCrashingWorld()
		defer w.close(t)
		innocent, _ := w.ask("/get/innocent", "x")
		is.Equal(innocent.status, 200)
		is.Equal(*runs, 1)
		is.Equal(len(w.server.Crashes.TakeReport(true).Crashes), 0)
	})
}

// Guards against a further attempt of a request that the controller has blocked
// while its first attempt ran.
func TestBlockedRequestIsNotRetried(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		request, runs := drrequest.NewFingerprint("", "POST /get/poison", nil), 0
		var w *orderWorld
		w = newScriptedWorld(func(conn *memoryConn, _ string) {
			runs++
			w.server.Crashes.SetVerdict(drcrash.Verdict{Blocks: []drcrash.Block{{Cause: request, Left: time.Minute, Span: time.Minute}}})
			conn.Reset()
		})
		defer w.close(t)
		answer, _ := w.ask("/get/poison", "x")
		is.Equal(answer.status, 502)
		is.Equal(runs, 1)
	})
}

// Guards against a blocked request that runs more than once when it is tried again.
func TestBlockedRequestIsTriedOnce(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, runs := newCrashingWorld()
		defer w.close(t)
		request := drrequest.NewFingerprint("", "POST /get/poison", nil)
		w.server.Crashes.SetVerdict(drcrash.Verdict{Blocks: []drcrash.Block{{Cause: request, Left: time.Minute, Span: time.Minute, Probe: true}}})
		answer, _ := w.ask("/get/poison", "x")
		is.Equal(answer.status, 502)
		again, _ := w.ask("/get/poison", "y")
		is.Equal(again.status, 503)
		is.Equal(*runs, 1)
	})
}

// Guards against taking an answer with an error for a success, which would clear a
// request, or a part of prompts, of the crashes of its runners.
func TestErrorClearsNothing(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			runs++
			if runs == 1 {
				conn.Reset()
				return
			}
			writeAll(conn, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nSeal: s\r\nId: "+id+"\r\n\r\n")
		})
		defer w.close(t)
		w.view.RemoveRunner("app-1")
		first, _ := w.ask("/pay/poison", "x")
		is.Equal(first.status, 502)
		again, _ := w.ask("/pay/poison", "y")
		is.Equal(again.status, 500)
		is.Equal(len(w.server.Crashes.TakeReport(true).Crashes), 1)
	})
}
