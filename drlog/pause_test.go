package drlog_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// Guards against a follower with pauses that never reads again, and against
// one that lets its own VM wait for a record that it has just appended.
func TestPauseEndsByTimeOrPoke(t *testing.T) {
	is := is.New(t)
	const pause = 10 * time.Second
	w := newWorld(t)
	v := w.vm("v", func(c *drlog.FollowerConfig) { c.Pause = func() time.Duration { return pause } })
	w.run(v)
	w.append("a")
	start := w.clock.Now()
	w.caughtUp(v, 1)
	is.True(w.clock.Since(start) <= pause+time.Second)
	w.append("b")
	start = w.clock.Now()
	w.until("read after poke", func() bool {
		v.follower.Poke()
		return v.follower.Offset() == 2
	})
	is.True(w.clock.Since(start) <= time.Second)
}

// smallPages is a log that returns one record per read.
type smallPages struct{ drlog.Log }

func (l smallPages) Read(ctx context.Context, s string, from uint64, n int, wait time.Duration) (drlog.Page, error) {
	p, err := l.Log.Read(ctx, s, from, n, wait)
	p.Records = p.Records[:min(len(p.Records), 1)]
	return p, err
}

// Guards against pauses between the pages of a stream that is behind.
func TestNoPauseWhileBehind(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	for range 50 {
		w.append("x")
	}
	v := w.vm("v", func(c *drlog.FollowerConfig) {
		c.Log, c.Pause = smallPages{c.Log}, func() time.Duration { return time.Hour }
	})
	start := w.clock.Now()
	w.run(v)
	w.caughtUp(v, 50)
	is.True(w.clock.Since(start) <= time.Second)
}
