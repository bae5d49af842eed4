package drproxy

import (
	"bufio"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drversion"
)

// withVersions gives the runners of streams software versions, by address.
func (w *orderWorld) withVersions(versions map[string]string) {
	for address, version := range versions {
		w.view.UpdateRunner(w.runners[address].id, 0, func(r drfleet.Runner) drfleet.Runner {
			r.Version = version
			return r
		})
	}
	w.view.ConfirmRunners(w.server.Clock.Uptime(), drstore.Position{})
}

// idOf returns the id of a stream that begins at a version, or any if none does.
func (w *orderWorld) idOf(version string) string {
	replica := drfleetview.Replica{Service: "llm", Model: "m"}
	for id := "x"; ; id += "x" {
		if chosen, bound := w.view.ChooseVersion(replica, id); !bound || chosen == version {
			return id
		}
	}
}

// breakAfterFirst sends the first event of a stream and breaks it off.
func breakAfterFirst(conn *memoryConn, id string) {
	writeAll(conn, answerParts(id, "/stream/", 0, answersWhole)[0])
	writeAll(conn, fmt.Sprintf("%x\r\n%s\r\n", len(eventText(1)), eventText(1)))
	time.Sleep(staleDelay)
	_ = conn.Close()
}

// Guards against an answer that begins at one software version of the runners and goes on at
// another, because only that one is left.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	prepareBubble()
	for second, complete := range map[string]bool{"v1": true, "v2": false} {
		t.Run(second, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(breakAfterFirst)
				defer w.close(t)
				w.view.CoverAllVersions()
				w.withVersions(map[string]string{"3": "v1", "4": second})
				id := w.idOf("v1")
				o, _ := w.ask("/stream/on/"+id, id)
				is.Equal(o.complete, complete)
				if !complete {
					is.Equal(o.body, eventText(1))
				}
			})
		})
	}
}

// Guards against a stream that is taken up at some runner although the VM cannot know which
// version began it, and against one that waits for a version of which no runner is left.
func TestResumedStreamNeedsItsVersion(t *testing.T) {
	prepareBubble()
	for _, c := range []struct {
		covered, draining bool
		want              string
	}{{false, false, "version-unknown\n"}, {true, true, "version-gone\n"}, {true, false, wholeBody("x", "/stream/on/x")[len(eventText(1)):]}} {
		t.Run(fmt.Sprintf("covered=%v draining=%v", c.covered, c.draining), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newScriptedWorld(refuse)
				defer w.close(t)
				w.withVersions(map[string]string{"3": "v1", "4": "v1"})
				if c.covered {
					w.view.CoverAllVersions()
				}
				for _, address := range []string{"3", "4"} {
					if c.draining {
						known, _ := w.view.Runner(w.runners[address].id)
						w.view.OfferRunner(known.WithDraining(), drfleetview.FromController)
					}
				}
				o := w.takeUp("/stream/on/x", "x", 1)
				is.Equal(o.body, c.want)
			})
		})
	}
}

// Guards against a VM that has stood still, and that begins or takes up a stream by what it knew
// before, while others have learned of runners of another software version.
func TestVMThatStoodStillWaitsForTheTable(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(refuse)
		defer w.close(t)
		w.view.CoverAllVersions()
		w.withVersions(map[string]string{"3": "v1", "4": "v1"})
		rest := wholeBody("x", "/stream/on/x")[len(eventText(1)):]
		is.Equal(w.takeUp("/stream/on/x", "x", 1).body, rest)
		time.Sleep(drversion.MaxLag + time.Millisecond)
		is.Equal(w.takeUp("/stream/on/x", "x", 1).body, "version-unknown\n")
		o, _ := w.ask("/stream/on/x", "x")
		is.Equal(o.body, wholeBody("x", "/stream/on/x"))
		time.Sleep(drversion.MaxBeginLag)
		o, _ = w.ask("/stream/on/x", "x")
		is.Equal(o.body, "runners-stale\n")
		w.view.ConfirmRunners(w.server.Clock.Uptime(), drstore.Position{})
		is.Equal(w.takeUp("/stream/on/x", "x", 1).body, rest)
		o, _ = w.ask("/stream/on/x", "x")
		is.Equal(o.body, wholeBody("x", "/stream/on/x"))
	})
}

// takeUp asks for the rest of a stream after an event.
func (w *orderWorld) takeUp(path, id string, last int) *orderOutcome {
	return w.takeUpOf(path, id, "", last)
}

// takeUpOf is takeUp for a stream that a request with another id has begun.
func (w *orderWorld) takeUpOf(path, id, resumes string, last int) *orderOutcome {
	client, conn := newMemoryPipe()
	w.running.Go(func() { w.server.ServeConn(conn) })
	writeAll(client, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nModel: m\r\nDeadline: 3000\r\nLast-Event: %d\r\nResumes: %s\r\nContent-Length: 0\r\n\r\n", path, id, last, resumes))
	o := &orderOutcome{id: id, path: path}
	o.read(bufio.NewReader(client))
	_ = client.Close()
	return o
}

// Guards against a VM that has stood still and refuses what comes in the moments until it hears
// from others again, and against one that is cut off and keeps requests waiting.
func TestVMThatGoesOnWaitsForNews(t *testing.T) {
	for _, stoodStill := range []bool{true, false} {
		t.Run(fmt.Sprint("stood-still-", stoodStill), func(t *testing.T) {
			prepareBubble()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const silence, pause = 5 * time.Second, 60 * time.Millisecond
				w := newScriptedWorld(refuse)
				defer w.close(t)
				w.view.CoverAllVersions()
				w.withVersions(map[string]string{"3": "v1", "4": "v1"})
				w.view.NoteAlive()
				for end := time.Now().Add(silence); time.Now().Before(end); time.Sleep(drfleetview.AliveInterval) {
					if !stoodStill {
						w.view.NoteAlive()
					}
				}
				w.running.Go(func() {
					time.Sleep(pause)
					w.view.ConfirmDeployment(w.server.Clock.Uptime())
					w.view.ConfirmRunners(w.server.Clock.Uptime(), drstore.Position{})
				})
				began := time.Now()
				o := w.takeUp("/stream/on/x", "x", 1)
				if !stoodStill {
					is.Equal(o.body, "version-unknown\n")
					is.Equal(time.Since(began), time.Duration(0))
					return
				}
				is.Equal(o.body, wholeBody("x", "/stream/on/x")[len(eventText(1)):])
				is.True(time.Since(began) >= pause)
			})
		})
	}
}

// lateAsker answers questions about streams from a time on.
type lateAsker struct {
	from   time.Time
	awaits bool
}

func (a lateAsker) AskStream(context.Context, drversion.Key) (version string, found, settled bool) {
	late := !time.Now().Before(a.from)
	return "v1", late, late
}

func (a lateAsker) AwaitsController() bool { return a.awaits }

// Guards against a VM whose table grows old because the controller has ended, and that refuses
// to take streams up a moment before the next one leads. One that is cut off refuses at once.
func TestTakenUpStreamWaitsForNextController(t *testing.T) {
	for _, awaits := range []bool{true, false} {
		t.Run(fmt.Sprint("awaits-", awaits), func(t *testing.T) {
			prepareBubble()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const pause = 200 * time.Millisecond
				w := newScriptedWorld(refuse)
				defer w.close(t)
				w.view.CoverAllVersions()
				w.withVersions(map[string]string{"3": "v1", "4": "v1"})
				time.Sleep(drversion.MaxLag + time.Millisecond)
				w.server.Streams = lateAsker{from: time.Now().Add(pause), awaits: awaits}
				began := time.Now()
				o := w.takeUpOf("/stream/on/x", "x", "first", 1)
				if !awaits {
					is.Equal(o.body, "version-unknown\n")
					is.Equal(time.Since(began), time.Duration(0))
					return
				}
				is.Equal(o.body, wholeBody("x", "/stream/on/x")[len(eventText(1)):])
				is.True(time.Since(began) >= pause)
			})
		})
	}
}

// Guards against a VM that has stood still and refuses new streams amid a release, in the moments
// between the table and what has served meanwhile.
func TestVMThatGoesOnAmidReleaseWaitsForVersions(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const silence, pause = 5 * time.Second, 60 * time.Millisecond
		other := drfleetview.New(newOrderWorld(2).server.Clock)
		w := newScriptedWorld(refuse)
		defer w.close(t)
		w.view.CoverAllVersions()
		w.withVersions(map[string]string{"3": "v1", "4": "v2"})
		time.Sleep(silence)
		w.view.NoteAlive()
		time.Sleep(silence)
		w.withVersions(map[string]string{"3": "v3", "4": "v2"})
		w.view.ConfirmDeployment(w.server.Clock.Uptime())
		other.CoverAllVersions()
		other.ConfirmRunners(w.server.Clock.Uptime(), drstore.Position{})
		w.running.Go(func() {
			time.Sleep(pause)
			w.view.MergeVersions(other.VersionRecord(), w.server.Clock.Uptime())
		})
		id := w.idOf("v2")
		o, took := w.ask("/stream/on/"+id, id)
		is.Equal(o.body, wholeBody(id, "/stream/on/"+id))
		is.True(took >= pause)
	})
}

// Guards against a stream that is taken up and refused because runners are full, or lack its
// model for a moment, four times within milliseconds: its client has no further try.
func TestTakenUpStreamOutlastsFullRunners(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(refuse)
		defer w.close(t)
		d := w.server.pool.dialer.(scriptedDialer)
		whole, roomAt := d.runners["4"], time.Now().Add(250*time.Millisecond)
		for _, address := range []string{"3", "4"} {
			d.runners[address] = func(conn *memoryConn, id string) {
				if time.Now().Before(roomAt) {
					refuse(conn, id)
					return
				}
				whole(conn, id)
			}
		}
		w.view.CoverAllVersions()
		w.withVersions(map[string]string{"3": "v1", "4": "v1"})
		is.Equal(w.takeUp("/stream/on/x", "x", 1).body, wholeBody("x", "/stream/on/x")[len(eventText(1)):])
	})
}
