package drlog_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// Guards against a follower that never reads again after a pause, and against one
// that ignores Wake. A VM calls Wake after an append, so that it does not wait for
// the pause to end before its own record is applied.
func TestPauseEndsByTimeOrPoke(t *testing.T) {
	is := is.New(t)
	const pause = 10 * time.Second
	cluster := newTestCluster(t)
	v := cluster.newVM("v", func(c *drlog.FollowerConfig) { c.Pause = func() time.Duration { return pause } })
	cluster.run(v)
	cluster.append("a")
	start := cluster.clock.Now()
	cluster.waitForOffset(v, 1)
	is.True(cluster.clock.Since(start) <= pause+time.Second)
	cluster.append("b")
	start = cluster.clock.Now()
	cluster.waitUntil("read after wake", func() bool {
		v.follower.Wake()
		return v.follower.Offset() == 2
	})
	is.True(cluster.clock.Since(start) <= time.Second)
}

// smallPages is a log that returns at most one record per read.
type smallPages struct{ drlog.Log }

func (l smallPages) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (drlog.Page, error) {
	p, err := l.Log.Read(ctx, stream, from, limit, wait)
	p.Records = p.Records[:min(len(p.Records), 1)]
	return p, err
}

// Guards against a follower that pauses between pages before it has caught up.
func TestNoPauseWhileBehind(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	for range 50 {
		cluster.append("x")
	}
	v := cluster.newVM("v", func(c *drlog.FollowerConfig) {
		c.Log, c.Pause = smallPages{c.Log}, func() time.Duration { return time.Hour }
	})
	start := cluster.clock.Now()
	cluster.run(v)
	cluster.waitForOffset(v, 50)
	is.True(cluster.clock.Since(start) <= time.Second)
}
