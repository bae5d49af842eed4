package drproxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// requireKeys puts a configuration in force in which all routes need one of the keys, and which the store confirms now for the last time.
func (w *orderWorld) requireKeys(t *testing.T, keys ...string) {
	t.Helper()
	old, _ := w.view.Deployment()
	config := old.Config
	config.Version, config.Accounts = old.Version+1, []drfleet.Account{{Name: "account", Keys: keys}}
	d, err := drfleet.NewDeployment(config)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(w.uptime() - w.server.Clock.Uptime()) // as of when the view counts as confirmed
	w.view.OfferDeployment(d, nil)
	w.view.SetZoneDrain(staleZoneDrain)
	w.server.SetFreshness(staleFreshness)
}

const (
	// staleFreshness and staleZoneDrain are the bounds in the tests of this file.
	staleFreshness, staleZoneDrain = time.Second, 1200 * time.Millisecond
	stalePropagation               = 500 * time.Millisecond
	// unstatedKey is that of requests that state none.
	unstatedKey = ""
	// staleDelay is how long a first attempt takes.
	staleDelay = 300 * time.Millisecond
)

// Guards against a stream that is cut, although its client has begun to get it, because its
// runner breaks off while the news of the store is old.
func TestBegunStreamGoesOnWithoutNews(t *testing.T) {
	prepareBubble()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newScriptedWorld(func(conn *memoryConn, id string) {
			writeAll(conn, answerParts(id, "/stream/", 0, answersWhole)[0])
			writeAll(conn, fmt.Sprintf("%x\r\n%s\r\n", len(eventText(1)), eventText(1)))
			time.Sleep(staleDelay)
			_ = conn.Close()
		})
		defer w.close(t)
		w.requireKeys(t, unstatedKey)
		time.Sleep(staleZoneDrain - staleDelay + 50*time.Millisecond)
		o, _ := w.ask("/stream/on/x", "x")
		is.True(o.complete)
		is.Equal(o.body, wholeBody("x", o.path))
	})
}

// Guards against a request that was accepted while the news of the store was recent enough,
// and that is sent to a runner when it is so old that operators may have taken the runner's
// zone out of service longer ago than the bound: after another runner has refused it, or
// after a connection took long to open.
func TestLaterAttemptNeedsRecentNews(t *testing.T) {
	prepareBubble()
	const recent, old = staleZoneDrain - staleDelay - 100*time.Millisecond, staleZoneDrain - staleDelay + 50*time.Millisecond
	for _, path := range []string{"/get/x", "/stream/on/x"} {
		for _, connecting := range []bool{false, true} {
			for age, want := range map[time.Duration]string{recent: wholeBody("x", path), old: "configuration-stale\n"} {
				t.Run(fmt.Sprintf("%s connecting=%v at %v", path[1:], connecting, age), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						w := newScriptedWorld(func(conn *memoryConn, id string) {
							time.Sleep(staleDelay)
							refuse(conn, id)
						})
						defer w.close(t)
						d := w.server.pool.dialer.(scriptedDialer)
						if connecting {
							d.runners["0"], d.runners["3"] = d.runners["1"], d.runners["4"]
							w.server.pool.dialer = &statingDialer{Dialer: d, state: func() { time.Sleep(staleDelay) }}
						}
						w.requireKeys(t, unstatedKey)
						time.Sleep(age)
						o, _ := w.ask(path, "x")
						is.Equal(o.body, want)
					})
				})
			}
		}
	}
}

// Guards against a client that is told that a route, key or model does not exist, and gives
// up, by a VM that has not heard for longer than a change takes to be in force everywhere.
func TestStaleConfigurationDeniesNothing(t *testing.T) {
	prepareBubble()
	for _, c := range []struct{ path, model, key, unknown string }{
		{"/added/x", "m", unstatedKey, "unknown-route\n"},
		{"/get/x", "m", "added", "unknown-key\n"},
		{"/stream/on/x", "added", unstatedKey, "unknown-model\n"},
	} {
		for age, want := range map[time.Duration]string{
			stalePropagation - time.Millisecond: c.unknown, stalePropagation + time.Millisecond: "configuration-stale\n",
		} {
			t.Run(fmt.Sprintf("%s at %v", strings.TrimSpace(c.unknown), age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newScriptedWorld(refuse)
					defer w.close(t)
					w.requireKeys(t, c.key)
					w.server.Propagation = stalePropagation
					time.Sleep(age)
					o, _ := w.askFor(c.model, c.path, "x")
					is.Equal(o.body, want)
				})
			})
		}
	}
}
